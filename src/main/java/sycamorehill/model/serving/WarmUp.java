package sycamorehill.model.serving;

import java.time.Duration;

/**
 * Describes the targets of a service that are cold for a while after their start.
 *
 * @param time how long a target is cold
 * @param requestsPerSecond requests that a cold target tolerates per second
 */
public record WarmUp(Duration time, double requestsPerSecond) {
}
