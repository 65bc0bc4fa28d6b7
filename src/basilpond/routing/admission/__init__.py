"""Which requests wait or are refused when there is too little room."""
