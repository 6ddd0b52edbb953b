package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.platform.PlatformAdapter;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which answers of the store count as those to a write of the lease.
 */
class LeaseAnswerTests {

	private static final String HOLDER = "one-1";

	private static final String OTHER_HOLDER = "two-1";

	private static final long TERM = 4;

	/** Longer than bytes need to arrive, and shorter than the timeout of a call. */
	private static final int GAP_MILLIS = 100;

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	private RawTarget store;

	@AfterEach
	void end() throws IOException {
		this.store.close();
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	private LeaseStore start(RawTarget.Responder responder) throws IOException {
		this.store = RawTarget.start(responder);
		CallClient client = CallClient.of(TargetConnectionPool.of(this.eventLoops.next()));
		return PlatformAdapter.createPorts(settings(this.store.address()), client).leaseStore();
	}

	private static EntrySettings settings(Address store) {
		EntrySettings sample = ServingSamples.settings("one");
		return new EntrySettings(sample.nodeName(), sample.dataCentre(), sample.dataCentres(), sample.processorCores(),
				sample.maximumDescriptors(), sample.callerAddress(), sample.readinessAddress(), sample.peerAddress(),
				sample.proxyAddress(), store, true, sample.stopTime(), sample.retryWindow(), sample.retryRatio(),
				sample.retryAllowance(), sample.stallTime(), sample.loadWindow());
	}

	private static String answer(String status, String holder, long renewal, long revision) {
		String body = "{\"metadata\":{\"name\":\"group-control\",\"rev\":" + revision + "},\"spec\":{\"holder\":\""
				+ holder + "\",\"term\":" + TERM + ",\"renewal\":" + renewal + ",\"recent_terms\":0},\"status\":{}}";
		return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(GAP_MILLIS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static LeaseAnswer renew(LeaseStore leases, long revision) {
		return leases.replace(new Lease(HOLDER, TERM, revision)).join();
	}

	@Test
	void theAnswerToARenewalCounts() throws Exception {
		LeaseStore leases = start(RawTarget.responder((request) -> answer("200 OK", HOLDER, 10, 11)));
		assertThat(renew(leases, 10)).isEqualTo(new LeaseAnswer.Present(new Lease(HOLDER, TERM, 11), true));
	}

	// Guards against two controllers at once: a lease counts as renewed that another has.
	@Test
	void aLateAnswerToTheRenewalBeforeRenewsNothing() throws Exception {
		LeaseStore leases = start((request, out) -> {
			write(out, answer("200 OK", HOLDER, 10, 11));
			if (request.contains("\"rev\":11")) {
				pause();
				write(out, answer("409 Conflict", OTHER_HOLDER, 11, 12));
			}
			return true;
		});
		assertThat(renew(leases, 10)).isInstanceOf(LeaseAnswer.Present.class);
		assertThat(renew(leases, 11)).isInstanceOf(LeaseAnswer.Unavailable.class);
	}

	// Guards against a lease that counts as taken by the answer to another write.
	@ParameterizedTest
	@ValueSource(longs = { 3, 11, 12 })
	void anAnswerWithAnotherRenewalIsNoAnswer(long renewal) throws Exception {
		LeaseStore leases = start(RawTarget.responder((request) -> answer("200 OK", HOLDER, renewal, 13)));
		assertThat(renew(leases, 10)).isInstanceOf(LeaseAnswer.Unavailable.class);
	}

	// Guards against a new lease that counts as this node's by the answer to another one.
	@Test
	void aCreatedLeaseMustBeTheOneThatWasWritten() throws Exception {
		LeaseStore leases = start(RawTarget.responder((request) -> answer("200 OK", HOLDER, 10, 11)));
		assertThat(leases.create(HOLDER).join()).isInstanceOf(LeaseAnswer.Unavailable.class);
	}

	@Test
	void aConflictNamesTheLeaseOfTheOther() throws Exception {
		LeaseStore leases = start(RawTarget.responder((request) -> answer("409 Conflict", OTHER_HOLDER, 10, 11)));
		assertThat(renew(leases, 10)).isEqualTo(new LeaseAnswer.Conflict(new Lease(OTHER_HOLDER, TERM, 11)));
	}

	// Guards against a lease that is given up for a conflict of an earlier write.
	@Test
	void aConflictWithALeaseThatIsNoNewerIsNoAnswer() throws Exception {
		LeaseStore leases = start(RawTarget.responder((request) -> answer("409 Conflict", OTHER_HOLDER, 9, 10)));
		assertThat(renew(leases, 10)).isInstanceOf(LeaseAnswer.Unavailable.class);
	}

}
