"""Stand-ins of the platform, of backend servers and of clients.

They use the standard library alone and speak what the users' pages say.
"""
