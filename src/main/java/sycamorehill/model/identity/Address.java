package sycamorehill.model.identity;

/**
 * A network address: a host and a port.
 *
 * @param host the IP address
 * @param port the port, from 1 to 65535
 */
public record Address(String host, int port) {

	private static final int MAXIMUM_PORT = 65535;

	/**
	 * Checks that the host is present and the port is in range.
	 */
	public Address {
		if (host == null || host.isBlank()) {
			throw new IllegalArgumentException("an address needs a host");
		}
		if (port < 1 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("a port must be from 1 to " + MAXIMUM_PORT + ", not " + port);
		}
	}

	/**
	 * Creates an address.
	 * @param host the IP address
	 * @param port the port
	 * @return the address
	 */
	public static Address of(String host, int port) {
		return new Address(host, port);
	}

	/**
	 * Parses HOST:PORT.
	 * @param text the address as HOST:PORT
	 * @return the address
	 */
	public static Address parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("expected HOST:PORT, not '" + text + "'");
		}
		try {
			return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("expected HOST:PORT, not '" + text + "'", ex);
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
