package sycamorehill.model.serving;

import java.time.Duration;

/**
 * Parameters of a model.
 *
 * @param name the model's name
 * @param groupSize number of engines in each of its groups
 * @param expectedLoadShare share of the engines that its load is expected to need, from 0
 * to 1
 * @param timeFactor factor applied to all durations of a group of this model
 * @param coldLoadTime time to load the weights from the weight store
 * @param warmLoadTime time to load the weights from the engine's own host
 */
public record ModelParameters(String name, int groupSize, double expectedLoadShare, double timeFactor,
		Duration coldLoadTime, Duration warmLoadTime) {
}
