package sycamorehill.platform;

import sycamorehill.entry.ExchangeCodec;

/**
 * Provides the codec of the users' platform to tests of the entry node.
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
