package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the configuration tells of a service's model engines.
 *
 * @param slots requests that a group runs at once
 * @param memoryTokens tokens that a group's memory holds
 * @param models the models that its groups may serve
 * @param stride token steps between two events of a stream
 * @param stepTime time of one token step with no request running
 * @param stepTimePerRequest what each running request adds to a step
 * @param readTokensPerSecond prompt tokens read in a second
 * @param loadsPerSecond loads from the weight store that may begin in a second, over all
 * engines
 * @param loadsAtOnce loads that run at full speed side by side
 * @param formTime time from the order to open to the first request taken
 * @param usualPrompt mean number of prompt tokens
 * @param usualAnswer mean number of answer tokens
 */
public record EngineFigures(int slots, long memoryTokens, List<ModelFigures> models, int stride, Duration stepTime,
		Duration stepTimePerRequest, double readTokensPerSecond, double loadsPerSecond, int loadsAtOnce,
		Duration formTime, int usualPrompt, int usualAnswer) {

	/**
	 * Copies the models.
	 */
	public EngineFigures {
		models = List.copyOf(models);
	}

	/**
	 * Finds a model.
	 * @param name the model's name
	 * @return the model, if the configuration names it
	 */
	public Optional<ModelFigures> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Time of one token step.
	 * @param running requests that run in the group
	 * @param model the group's model
	 * @return the time
	 */
	public Duration step(int running, ModelFigures model) {
		double nanos = this.stepTime.toNanos() + (double) this.stepTimePerRequest.toNanos() * running;
		return Duration.ofNanos((long) (nanos * model.pace()));
	}

}
