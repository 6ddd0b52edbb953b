package sycamorehill.platform;

import sycamorehill.entry.ExchangeCodec;

/**
 * Gives tests of the entry node the users' platform's own codec.
 */
public final class PlatformTestCodec {

	private PlatformTestCodec() {
	}

	/**
	 * Creates the codec.
	 * @return the codec
	 */
	public static ExchangeCodec create() {
		return PlatformExchangeCodec.create();
	}

}
