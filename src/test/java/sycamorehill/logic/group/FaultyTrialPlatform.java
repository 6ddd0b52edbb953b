package sycamorehill.logic.group;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import sycamorehill.experiment.group.TrialPlatform;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.support.FakePlatform;

/**
 * Lets a trial use the fake platform, which loses and delays calls.
 */
final class FaultyTrialPlatform implements TrialPlatform {

	private final FakePlatform platform;

	private FaultyTrialPlatform(FakePlatform platform) {
		this.platform = platform;
	}

	static FaultyTrialPlatform create(long seed) {
		return new FaultyTrialPlatform(FakePlatform.create(new Random(seed)));
	}

	FakePlatform faults() {
		return this.platform;
	}

	@Override
	public List<Delivery> call(PlatformRequest request, Duration timeout) {
		return this.platform.call(request, timeout)
			.stream()
			.map((delivery) -> new Delivery(delivery.delay(), delivery.apply()))
			.toList();
	}

	@Override
	public StoredObject look(PlatformRequest.Read request) {
		return this.platform.object(request.key());
	}

}
