package sycamorehill.support;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.standin.ObjectStore;

/**
 * The platform as one thread sees it: real rules of versions and conditional updates,
 * with calls that are lost, answers that are lost after the write took effect, writes
 * that take effect long after their caller gave up, and outages.
 */
public final class FakePlatform {

	private final ObjectStore store = ObjectStore.create();

	private final RandomGenerator random;

	private final Map<ObjectKind, Integer> calls = new EnumMap<>(ObjectKind.class);

	private double lostBefore;

	private double lostAfter;

	private double late;

	private boolean down;

	private FakePlatform(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Creates a platform without faults.
	 * @param random decides the faults once they are switched on
	 * @return the platform
	 */
	public static FakePlatform create(RandomGenerator random) {
		return new FakePlatform(random);
	}

	/**
	 * Switches faults on.
	 * @param lostBeforeShare the share of calls that never arrive
	 * @param lostAfterShare the share of calls that take effect but whose answer is lost
	 * @param lateShare the share of calls that take effect only after their caller has
	 * given up
	 */
	public void faults(double lostBeforeShare, double lostAfterShare, double lateShare) {
		this.lostBefore = lostBeforeShare;
		this.lostAfter = lostAfterShare;
		this.late = lateShare;
	}

	/**
	 * Switches an outage on or off.
	 * @param isDown whether every call fails
	 */
	public void down(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Carries a call out without faults, as a test's own look at what is kept.
	 * @param request the call
	 * @return its answer
	 */
	public PlatformAnswer look(PlatformRequest request) {
		return this.store.call(request);
	}

	/**
	 * The object under a key, as a test's own look.
	 * @param key the key
	 * @return the object, or null
	 */
	public StoredObject object(ObjectKey key) {
		return (look(new PlatformRequest.Read(key)) instanceof PlatformAnswer.Found found) ? found.object() : null;
	}

	/**
	 * How many calls there were by kind of object, lost ones among them.
	 * @return the counts
	 */
	public Map<ObjectKind, Integer> calls() {
		return Map.copyOf(this.calls);
	}

	/**
	 * Takes a call in. The caller schedules each delivery after its delay: {@code apply}
	 * runs at that moment and gives the answer to deliver, or null where nothing is
	 * delivered.
	 * @param request the call
	 * @param timeout when the caller gives up
	 * @return what happens, at least one delivery that yields an answer
	 */
	public List<Delivery> call(PlatformRequest request, Duration timeout) {
		this.calls.merge(kind(request), 1, Integer::sum);
		List<Delivery> deliveries = new ArrayList<>();
		Duration delay = Duration.ofMillis(1 + this.random.nextInt(8));
		if (this.down) {
			deliveries.add(new Delivery(delay, () -> new PlatformAnswer.NotTaken(Duration.ZERO, "outage")));
			return deliveries;
		}
		double draw = this.random.nextDouble();
		PlatformAnswer notKnown = new PlatformAnswer.NotKnown("no answer within " + timeout);
		if (draw < this.lostBefore) {
			deliveries.add(new Delivery(timeout, () -> notKnown));
		}
		else if (draw < this.lostBefore + this.lostAfter) {
			deliveries.add(new Delivery(delay, () -> silently(request)));
			deliveries.add(new Delivery(timeout, () -> notKnown));
		}
		else if (draw < this.lostBefore + this.lostAfter + this.late) {
			deliveries.add(new Delivery(timeout, () -> notKnown));
			Duration lateDelay = timeout.multipliedBy(1 + this.random.nextInt(3)).plusMillis(1);
			deliveries.add(new Delivery(lateDelay, () -> silently(request)));
		}
		else {
			deliveries.add(new Delivery(delay, () -> this.store.call(request)));
		}
		return deliveries;
	}

	private PlatformAnswer silently(PlatformRequest request) {
		this.store.call(request);
		return null;
	}

	private static ObjectKind kind(PlatformRequest request) {
		if (request instanceof PlatformRequest.Read read) {
			return read.key().kind();
		}
		if (request instanceof PlatformRequest.Create create) {
			return create.key().kind();
		}
		if (request instanceof PlatformRequest.Update update) {
			return update.key().kind();
		}
		if (request instanceof PlatformRequest.Delete delete) {
			return delete.key().kind();
		}
		if (request instanceof PlatformRequest.ListObjects list) {
			return list.kind();
		}
		return ((PlatformRequest.Watch) request).kind();
	}

	/**
	 * One thing that happens after a call.
	 *
	 * @param delay how long after the call
	 * @param apply carries it out and gives the answer to deliver, or null for none
	 */
	public record Delivery(Duration delay, Supplier<PlatformAnswer> apply) {

	}

}
