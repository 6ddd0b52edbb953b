package sycamorehill.model.serving;

/**
 * Load that a target reports with an answer.
 *
 * @param running number of running requests
 * @param waiting number of requests queued in the target
 * @param slots number of requests that the target runs at once
 */
public record EngineLoad(int running, int waiting, int slots) {
}
