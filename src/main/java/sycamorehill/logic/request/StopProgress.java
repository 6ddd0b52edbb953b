package sycamorehill.logic.request;

import java.time.Instant;

/**
 * How far a planned stop has come.
 *
 * @param since when the node was told to stop
 * @param exited whether the process was told to end
 */
public record StopProgress(Instant since, boolean exited) {

}
