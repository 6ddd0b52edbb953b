package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Parameters of a service's model engines.
 *
 * @param slots number of requests that a group runs at once
 * @param cacheTokens number of tokens that fit into a group's memory
 * @param models models that the service's groups may serve
 * @param stepsPerEvent token steps between two events of a stream
 * @param stepTime duration of one token step while no request runs
 * @param stepTimePerRequest additional duration of a token step for each running request
 * @param prefillTokensPerSecond prompt tokens that an engine processes per second
 * @param loadsPerSecond number of loads from the weight store that may start per second,
 * over all engines
 * @param fullSpeedLoads number of concurrent loads that run at full speed
 * @param openingTime time from the command to open a group to its first accepted request
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
	 * Returns a model by its name.
	 * @param name the model's name
	 * @return the model, or empty if the configuration doesn't contain it
	 */
	public Optional<ModelParameters> model(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Returns the duration of one token step.
	 * @param runningRequests number of requests that run in the group
	 * @param model the group's model
	 * @return the duration of the step
	 */
	public Duration stepDuration(int runningRequests, ModelParameters model) {
		double nanos = this.stepTime.toNanos() + (double) this.stepTimePerRequest.toNanos() * runningRequests;
		return Duration.ofNanos((long) (nanos * model.timeFactor()));
	}

}
