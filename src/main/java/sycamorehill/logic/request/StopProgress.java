package sycamorehill.logic.request;

import java.time.Instant;

/**
 * Progress of a graceful shutdown.
 *
 * @param since the monotonic time at which the shutdown was requested
 * @param exited whether the exit of the process was requested
 */
public record StopProgress(Instant since, boolean exited) {

}
