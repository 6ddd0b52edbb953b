package sycamorehill.entry;

import io.netty.util.NetUtil;

import sycamorehill.model.identity.Address;

/**
 * Parses addresses that other processes wrote. A host name is refused: looking it up
 * would block the event loop.
 */
public final class NumericAddress {

	private NumericAddress() {
	}

	/**
	 * Parses IP:PORT.
	 * @param text the address
	 * @return the address; throws an {@link IllegalArgumentException} if the host is no
	 * IP address or the port is invalid
	 */
	public static Address parse(String text) {
		Address address = Address.parse(text);
		if (!NetUtil.isValidIpV4Address(address.host()) && !NetUtil.isValidIpV6Address(address.host())) {
			throw new IllegalArgumentException("expected an IP address, not '" + address.host() + "'");
		}
		return address;
	}

}
