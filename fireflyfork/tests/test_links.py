"""Which texts are addresses."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from .._errors import SettingsError
from .._links import Address

ADDRESSES = ("127.0.0.1:80", "10.128.0.9:65535", "[::1]:8080", "[2001:db8::7]:1", "[::]:80")
OTHER_TEXTS = (
    "",
    "80",
    "localhost:80",
    "10.0.0.1",
    "10.0.0.256:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.1:8_0",
    "10.0.0.1:\u0668\u0660",
    "10.0.0.1:080",
    "10.0.0.1:80\n",
    "[10.0.0.1]:80",
    "::1:80",
    "[::1:80",
    "[::1%1]:80",
    "[::1%r\u00e9seau]:8080",
    "[::1%" + "x" * 70 + "]:8080",
    "[fe80::1%eth\x000]:8080",
)


class AddressTest(unittest.TestCase):
    """An address is an IP number and a port, each in one form only."""

    def test_addresses_are_read_and_written_alike(self) -> None:
        for text in ADDRESSES:
            with self.subTest(text):
                self.assertEqual(str(Address.parse(text)), text)

    def test_other_texts_are_refused(self) -> None:
        """Guards against addresses that only a resolver refuses, with an error of its own."""
        for text in OTHER_TEXTS:
            with self.subTest(text), self.assertRaises(SettingsError):
                Address.parse(text)

    def test_a_host_with_a_zone_is_refused_without_a_text_to_parse(self) -> None:
        """Guards against addresses of peers and stored lists, which are decoded field by field."""
        for host in ("::1%1", "::1%r\u00e9seau", "fe80::1%" + "x" * 70, "::1%", "localhost"):
            with self.subTest(host), self.assertRaises(SettingsError):
                Address(host, 80)

    @given(st.text(st.sampled_from("0123456789abf.:[]%_+ \u0660\u00e9\x00\n"), max_size=24))
    def test_any_text_is_an_address_or_refused(self, text: str) -> None:
        """Guards against a text that is read as an address and not written as the same one."""
        try:
            address = Address.parse(text)
        except SettingsError:
            return
        self.assertEqual(str(address), text)
        address.host.encode("ascii")


if __name__ == "__main__":
    unittest.main()
