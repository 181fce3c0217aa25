"""Password authentication by mysql_native_password and caching_sha2_password, as MySQL documents them."""

from __future__ import annotations

import hashlib
import hmac

NATIVE, CACHING = "mysql_native_password", "caching_sha2_password"
FAST_OK, FULL_AUTH_REQUIRED = 3, 4  # status bytes of caching_sha2_password


def xor_bytes(left: bytes, right: bytes) -> bytes:
    """Return the bytewise XOR of two strings of equal length."""
    return bytes(left_byte ^ right_byte for left_byte, right_byte in zip(left, right, strict=True))


def native_response(password: bytes, nonce: bytes) -> bytes:
    """Return SHA1(password) xor SHA1(nonce + SHA1(SHA1(password))); empty for an empty password."""
    if not password:
        return b""
    password_hash = hashlib.sha1(password).digest()
    return xor_bytes(password_hash, hashlib.sha1(nonce[:20] + hashlib.sha1(password_hash).digest()).digest())


def caching_response(password: bytes, nonce: bytes) -> bytes:
    """Return SHA256(password) xor SHA256(SHA256(SHA256(password)) + nonce); empty for an empty password."""
    if not password:
        return b""
    password_hash = hashlib.sha256(password).digest()
    return xor_bytes(
        password_hash, hashlib.sha256(hashlib.sha256(password_hash).digest() + nonce[:20]).digest()
    )


RESPONSE_FUNCTIONS = {NATIVE: native_response, CACHING: caching_response}


def verify_response(plugin: str, response: bytes, password: bytes, nonce: bytes) -> bool:
    """Return whether `response` is the response to `nonce` that the password gives, in constant time."""
    return hmac.compare_digest(response, RESPONSE_FUNCTIONS[plugin](password, nonce))
