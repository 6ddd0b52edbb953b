package sycamorehill.engine;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.identity.Address;

/**
 * Sends requests to plain services.
 */
public interface PlainServiceClient {

	/**
	 * Sends a request without retrying it.
	 * @param address the address of the target
	 * @param call the request
	 * @return the result of the request. A failed request gives a result as well, not a
	 * failed future. Cancelling the future closes the connection
	 */
	CompletableFuture<PlainAnswer> send(Address address, PlainCall call);

}
