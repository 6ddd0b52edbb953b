package sycamorehill.runtime;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.node.NodeState;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.policy.Policy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the control loop when steps and effects throw.
 */
class ControlLoopTests {

	private final BlockingQueue<Throwable> violations = new LinkedBlockingQueue<>();

	private final BlockingQueue<NodeEffect.Exit> exits = new LinkedBlockingQueue<>();

	private volatile boolean effectsFail;

	private ControlLoop loop;

	@BeforeEach
	void begin() {
		NodeIdentity self = new NodeIdentity(NodeIncarnation.of(NodeName.of("n"), 1), DataCentreName.of("fukuoka"),
				Address.of("127.0.0.1", 1));
		this.loop = ControlLoop.create(NodeState.initial(self, Policy.standard()), Clock.systemUTC(), Clock.systemUTC(),
				(effect) -> {
					if (effect instanceof NodeEffect.Exit exit) {
						this.exits.add(exit);
					}
					if (this.effectsFail) {
						throw new OutOfMemoryError("thrown by a test");
					}
				}, new MetricRegistry(), (event, cause) -> this.violations.add(cause));
		this.loop.start(1);
	}

	@AfterEach
	void end() {
		this.loop.close();
	}

	// A loop that ends at once can't drain: all streams are cut.
	@Test
	void aLoopWhoseStepThrewStillDrains() throws InterruptedException {
		this.loop.post(new RequestEvent.Arrived(null));
		assertThat(this.violations.poll(5, TimeUnit.SECONDS)).isInstanceOf(NullPointerException.class);
		this.loop.post(new NodeEvent.StopRequested());
		Duration grace = Policy.standard().request().stopGrace();
		assertThat(this.exits.poll(grace.plusSeconds(5).toMillis(), TimeUnit.MILLISECONDS)).isNotNull();
	}

	// An error that left the control thread would end it, and the process would live on
	// without decisions.
	@Test
	void errorsInEffectsDoNotEndTheLoop() throws InterruptedException {
		this.effectsFail = true;
		this.loop.post(new NodeEvent.StopRequested());
		Duration grace = Policy.standard().request().stopGrace();
		assertThat(this.exits.poll(grace.plusSeconds(5).toMillis(), TimeUnit.MILLISECONDS)).isNotNull();
		assertThat(this.violations).isEmpty();
	}

}
