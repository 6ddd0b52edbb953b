package sycamorehill.experiment.group;

import java.time.Duration;
import java.util.List;

import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.standin.ObjectStore;

/**
 * A platform that answers after a few milliseconds, and has outages.
 */
public final class PlainTrialPlatform implements TrialPlatform {

	private static final Duration DELAY = Duration.ofMillis(4);

	private final ObjectStore store = ObjectStore.create();

	private boolean down;

	private PlainTrialPlatform() {
	}

	/**
	 * Creates an empty platform.
	 * @return the platform
	 */
	public static PlainTrialPlatform create() {
		return new PlainTrialPlatform();
	}

	/**
	 * Switches an outage on or off.
	 * @param isDown whether every call fails
	 */
	public void down(boolean isDown) {
		this.down = isDown;
	}

	@Override
	public List<Delivery> call(PlatformRequest request, Duration timeout) {
		if (this.down) {
			return List.of(new Delivery(timeout, () -> new PlatformAnswer.NotKnown("outage")));
		}
		return List.of(new Delivery(DELAY, () -> this.store.call(request)));
	}

	@Override
	public StoredObject look(PlatformRequest.Read request) {
		return (this.store.call(request) instanceof PlatformAnswer.Found found) ? found.object() : null;
	}

}
