package sycamorehill.engine;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.Address;

/**
 * A plain service at one address.
 */
public interface PlainServiceClient {

	/**
	 * Sends a call, once.
	 * @param address where the target listens
	 * @param call the call
	 * @return how it ended; the future itself never fails, and cancelling it closes the
	 * connection
	 */
	CompletableFuture<PlainAnswer> send(Address address, PlainCall call);

}
