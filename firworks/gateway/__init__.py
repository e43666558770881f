"""Forwards client requests to targets directly or through stage and engine pools."""
