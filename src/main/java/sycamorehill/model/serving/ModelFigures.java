package sycamorehill.model.serving;

import java.time.Duration;

/**
 * A model as the configuration describes it.
 *
 * @param name the model's name
 * @param size number of engines in each of its groups
 * @param share part of the engines that its load is expected to need, from 0 to 1
 * @param pace factor on all times of a group of this model
 * @param coldLoad time to load the weights from the weight store
 * @param warmLoad time to load the weights from the engine's own host
 */
public record ModelFigures(String name, int size, double share, double pace, Duration coldLoad, Duration warmLoad) {
}
