package sycamorehill.runtime;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import sycamorehill.logic.Step;
import sycamorehill.logic.node.NodeReducer;
import sycamorehill.logic.node.NodeState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.log.LogEvent;

/**
 * Owns the control state. A single thread takes the events in order, applies them with
 * the reducer and carries out the resulting effects. Other threads read the last
 * published state, which is immutable.
 */
public final class ControlLoop implements EventSink, AutoCloseable {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private final NodeReducer reducer = NodeReducer.create();

	private final InstantSource clock;

	private final InstantSource wallClock;

	private final EffectPort effects;

	private final Timer stepTimer;

	private final Counter effectFailures;

	private final InvariantViolationHandler invariantViolationHandler;

	private final Thread thread;

	private volatile NodeState state;

	private volatile boolean closed;

	private ControlLoop(NodeState initial, InstantSource clock, InstantSource wallClock, EffectPort effects,
			MetricRegistry metrics, InvariantViolationHandler invariantViolationHandler) {
		this.state = initial;
		this.clock = clock;
		this.wallClock = wallClock;
		this.effects = effects;
		this.stepTimer = metrics.timer("control.step");
		this.effectFailures = metrics.counter("control.effect-failures");
		metrics.register("control.events-waiting", (Gauge<Integer>) this.events::size);
		this.invariantViolationHandler = invariantViolationHandler;
		this.thread = new Thread(this::run, "control");
	}

	/**
	 * Creates a control loop; {@link #start} starts its thread.
	 * @param initial the state before the first event
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock, for records only
	 * @param effects carries out the effects of each step
	 * @param metrics the registry of the loop's metrics
	 * @param invariantViolationHandler called when a step throws; the loop goes on with
	 * the state before the step
	 * @return the control loop
	 */
	public static ControlLoop create(NodeState initial, InstantSource clock, InstantSource wallClock,
			EffectPort effects, MetricRegistry metrics, InvariantViolationHandler invariantViolationHandler) {
		return new ControlLoop(initial, clock, wallClock, effects, metrics, invariantViolationHandler);
	}

	/**
	 * Starts the control thread.
	 * @param seed the seed of all random choices of the decision logic
	 */
	public void start(long seed) {
		post(new NodeEvent.Started(seed));
		this.thread.start();
	}

	@Override
	public void post(Event event) {
		this.events.add(event);
	}

	/**
	 * Returns the identifier of the control thread, by which its processor time is
	 * measured.
	 * @return the thread's identifier
	 */
	public long threadIdentifier() {
		return this.thread.getId();
	}

	/**
	 * Returns the state after the last step.
	 * @return the state
	 */
	public NodeState state() {
		return this.state;
	}

	private void run() {
		long nextTick = System.nanoTime();
		try {
			while (!this.closed) {
				long wait = nextTick - System.nanoTime();
				Event event = (wait > 0) ? this.events.poll(wait, TimeUnit.NANOSECONDS) : null;
				if (event != null) {
					step(event);
				}
				else {
					step(new NodeEvent.Ticked(this.wallClock.instant()));
					nextTick = System.nanoTime() + TICK_INTERVAL.toNanos();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void step(Event event) {
		try (Timer.Context ignored = this.stepTimer.time()) {
			Step<NodeState> step = this.reducer.reduce(this.state, this.clock.instant(), event);
			this.state = step.state();
			step.effects().forEach(this::carryOut);
		}
		catch (Throwable ex) {
			// The state before the step is complete, and what is in flight goes on with
			// it.
			this.invariantViolationHandler.handle(event, ex);
		}
	}

	private void carryOut(Effect effect) {
		try {
			this.effects.carryOut(effect);
		}
		catch (Throwable ex) {
			// A failing adapter must not stop the control loop. Its answer never arrives,
			// and all decision logic treats a missing answer as an unknown outcome after
			// its timeout.
			this.effectFailures.inc();
			EventLog.failure(LogEvent.EFFECT_FAILED, effect.getClass().getSimpleName(), ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	/**
	 * Handles a step that threw an exception or an error.
	 */
	@FunctionalInterface
	public interface InvariantViolationHandler {

		/**
		 * Handles the failure. Must not throw.
		 * @param event the event whose step threw
		 * @param cause the exception or error
		 */
		void handle(Event event, Throwable cause);

	}

}
