"""Proofs of a password: mysql_native_password and caching_sha2_password, as published."""

from __future__ import annotations

import hashlib
import hmac

NATIVE, CACHING = "mysql_native_password", "caching_sha2_password"
FAST_OK, FULL_NEEDED = 3, 4  # what a server says within caching_sha2_password


def xor(a: bytes, b: bytes) -> bytes:
    return bytes(x ^ y for x, y in zip(a, b, strict=True))


def native(password: bytes, nonce: bytes) -> bytes:
    """SHA1(password) xor SHA1(nonce + SHA1(SHA1(password))); empty for no password."""
    if not password:
        return b""
    once = hashlib.sha1(password).digest()
    return xor(once, hashlib.sha1(nonce[:20] + hashlib.sha1(once).digest()).digest())


def caching(password: bytes, nonce: bytes) -> bytes:
    """SHA256(password) xor SHA256(SHA256(SHA256(password)) + nonce); empty for no password."""
    if not password:
        return b""
    once = hashlib.sha256(password).digest()
    return xor(once, hashlib.sha256(hashlib.sha256(once).digest() + nonce[:20]).digest())


PROOFS = {NATIVE: native, CACHING: caching}


def proves(plugin: str, proof: bytes, password: bytes, nonce: bytes) -> bool:
    """Whether a client's proof is that of the password."""
    return hmac.compare_digest(proof, PROOFS[plugin](password, nonce))
