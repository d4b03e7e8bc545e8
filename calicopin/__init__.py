"""calicopin: a courier that delivers texts (requests) to many outside destinations."""
