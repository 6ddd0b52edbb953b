package sycamorehill.engine;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;

/**
 * A model engine on one target VM.
 */
public interface EngineClient {

	/**
	 * Asks for the engine's report of itself.
	 * @param address where it listens
	 * @return the report; fails with {@link sycamorehill.http.NotSentException} if the
	 * address refused the connection
	 */
	CompletableFuture<VmReport> readReport(Address address);

	/**
	 * Gives an order, once.
	 * @param address where it listens
	 * @param command the order
	 * @return how it ended; the future itself never fails
	 */
	CompletableFuture<EngineCommandResult> sendCommand(Address address, EngineCommand command);

	/**
	 * Sends a completion and reads its tokens.
	 * @param address the head of the group
	 * @param call what to complete
	 * @param listener hears the tokens in order, then the end, exactly once
	 * @return stops the stream and cancels the work at the engine
	 */
	AttemptHandle complete(Address address, CompletionCall call, AttemptListener listener);

}
