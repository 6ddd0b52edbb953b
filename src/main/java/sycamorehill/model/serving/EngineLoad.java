package sycamorehill.model.serving;

/**
 * The load that a target tells with an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait in the target
 * @param slots requests that can run at once
 */
public record EngineLoad(int running, int waiting, int slots) {
}
