package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the configuration tells of a service's model engines.
 *
 * @param slots requests that a group runs at once
 * @param cacheTokens tokens that a group's memory holds
 * @param models the models that its groups may serve
 * @param stepsPerEvent token steps between two events of a stream
 * @param stepTime time of one token step with no request running
 * @param stepTimePerRequest what each running request adds to a step
 * @param prefillTokensPerSecond prompt tokens read in a second
 * @param loadsPerSecond loads from the weight store that may begin in a second, over all
 * engines
 * @param fullSpeedLoads loads that run at full speed side by side
 * @param openingTime time from the order to open to the first request taken
 * @param meanPromptTokens mean number of prompt tokens
 * @param meanAnswerTokens mean number of answer tokens
 */
public record EngineParameters(int slots, long cacheTokens, List<ModelParameters> models, int stepsPerEvent,
		Duration stepTime, Duration stepTimePerRequest, double prefillTokensPerSecond, double loadsPerSecond,
		int fullSpeedLoads, Duration openingTime, int meanPromptTokens, int meanAnswerTokens) {

	/**
	 * Copies the models.
	 */
	public EngineParameters {
		models = List.copyOf(models);
	}

	/**
	 * Finds a model.
	 * @param name the model's name
	 * @return the model, if the configuration names it
	 */
	public Optional<ModelParameters> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Time of one token step.
	 * @param runningRequests requests that run in the group
	 * @param model the group's model
	 * @return the time
	 */
	public Duration stepDuration(int runningRequests, ModelParameters model) {
		double nanos = this.stepTime.toNanos() + (double) this.stepTimePerRequest.toNanos() * runningRequests;
		return Duration.ofNanos((long) (nanos * model.timeFactor()));
	}

}
