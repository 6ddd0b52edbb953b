package sycamorehill.engine;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;

/**
 * Sends requests to the model engines on target VMs.
 */
public interface EngineClient {

	/**
	 * Requests the report of an engine.
	 * @param address the address of the engine
	 * @return the report. Fails with {@link sycamorehill.http.NotSentException} if the
	 * connection was refused
	 */
	CompletableFuture<VmReport> readReport(Address address);

	/**
	 * Sends a command without retrying it.
	 * @param address the address of the engine
	 * @param command the command
	 * @return the result of the command. A failed call gives a result as well, not a
	 * failed future
	 */
	CompletableFuture<EngineCommandResult> sendCommand(Address address, EngineCommand command);

	/**
	 * Sends a completion request and reads the tokens of its answer.
	 * @param address the address of the head of the group
	 * @param call the completion request
	 * @param listener receives the tokens in order and then, unless the attempt is
	 * cancelled, the result exactly once
	 * @return a handle that closes the stream and cancels the request at the engine
	 */
	AttemptHandle complete(Address address, CompletionCall call, AttemptListener listener);

}
