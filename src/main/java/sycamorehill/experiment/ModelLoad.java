package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;

/**
 * Draws requests: prompts share long prefixes by family, a few families being much more
 * frequent than the rest, and answers have exponential lengths.
 */
final class ModelLoad {

	static final ServiceName SERVICE = ServiceName.of("chat");

	static final double MEAN_TOKENS = 64;

	static final double PROMPT_TOKENS = 600;

	private static final int FAMILIES = 60;

	private static final int SHARED_BLOCKS = 8;

	private static final int OWN_BLOCKS = 1;

	private final Random random;

	private long requests;

	private ModelLoad(long seed) {
		this.random = new Random(seed);
	}

	static ModelLoad of(long seed) {
		return new ModelLoad(seed);
	}

	/**
	 * The rate that a number of engines carries when all their places are taken.
	 * @param engines how many
	 * @return requests a second
	 */
	static double capacity(int engines) {
		double slowed = 1 + EngineModel.SLOWDOWN * EngineModel.MOST_RUNNING;
		double prefill = EngineModel.PREFILL_PER_TOKEN * PROMPT_TOKENS;
		double seconds = slowed * (EngineModel.FIRST_TOKEN + prefill + EngineModel.TOKEN_GAP * MEAN_TOKENS);
		return engines * EngineModel.MOST_RUNNING / seconds;
	}

	double gap(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) / perSecond;
	}

	double draw() {
		return this.random.nextDouble();
	}

	RequestDescription request(NodeIncarnation node, String workspace, Instant now, Duration patience) {
		long number = ++this.requests;
		int family = (int) (FAMILIES * Math.pow(this.random.nextDouble(), 2));
		List<Long> prefixes = new ArrayList<>();
		for (int block = 0; block < SHARED_BLOCKS; block++) {
			prefixes.add(family * 1000L + block);
		}
		for (int block = 0; block < OWN_BLOCKS; block++) {
			prefixes.add(1_000_000_000L + number * 10 + block);
		}
		int tokens = (int) Math.max(1, -Math.log(1 - this.random.nextDouble()) * MEAN_TOKENS);
		return new RequestDescription(RequestIdentifier.of(node, number), workspace, SERVICE, "POST", "/",
				(int) PROMPT_TOKENS, tokens, prefixes, Priority.NORMAL, now.plus(patience), Optional.empty(),
				new Fingerprint("f" + number));
	}

}
