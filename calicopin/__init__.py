"""calicopin: a courier that carries texts to many outside destinations."""
