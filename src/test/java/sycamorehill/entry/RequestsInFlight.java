package sycamorehill.entry;

import java.util.ArrayList;
import java.util.List;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests on kept connections to the node "one" of a cluster, whose answers wait for the
 * test.
 */
final class RequestsInFlight implements AutoCloseable {

	private final LoopbackCluster cluster;

	private final SteppedAnswers answers;

	private final String suffix;

	private final List<InFlight> requests = new ArrayList<>();

	private RequestsInFlight(LoopbackCluster cluster, SteppedAnswers answers, String suffix) {
		this.cluster = cluster;
		this.answers = answers;
		this.suffix = suffix;
	}

	/**
	 * Creates a set without requests.
	 * @param cluster the cluster
	 * @param answers the answers of its targets
	 * @param suffix makes the requests' identifiers and contents unique in the cluster
	 * @return the set
	 */
	static RequestsInFlight of(LoopbackCluster cluster, SteppedAnswers answers, String suffix) {
		return new RequestsInFlight(cluster, answers, suffix);
	}

	/**
	 * Sends requests that stay at their targets: streams of both kinds, one of them
	 * without a first event, and slow requests that may and may not be repeated.
	 */
	void sendUndisturbed() throws Exception {
		for (int number = 0; number < 4; number++) {
			send("/stream/", "resumable" + number);
			send("/single/", "single" + number);
		}
		send("/stream/", "queued");
		send("/again/", "slow-again");
		send("/once/", "slow-once");
	}

	/**
	 * Sends requests that their targets fail, break off or refuse after the wait, so that
	 * each is placed once more.
	 */
	void sendDisturbed() throws Exception {
		send("/stream/", "breaking");
		send("/again/", "failing");
		send("/stream/", "refused");
	}

	void send(String path, String name) throws Exception {
		String identifier = name + '-' + this.suffix;
		KeptConnection connection = KeptConnection.open(this.cluster.settingsOf("one").callerAddress().port());
		this.requests.add(new InFlight(identifier, connection));
		connection.send("/again/before-" + identifier, "before-" + identifier);
		assertThat(connection.read().hasStatus(200)).isTrue();
		connection.send(path + identifier, identifier);
	}

	void awaitStarted() throws InterruptedException {
		this.answers.awaitStarted(this.requests.size());
	}

	/** Lets the answers go on, and checks that each comes to its end. */
	void assertWhole() {
		this.answers.goOn();
		for (InFlight request : this.requests) {
			KeptConnection.Answer answer = request.connection().read();
			assertThat(answer.whole()).as("%s: %s", request.identifier(), answer).isTrue();
			assertThat(answer.hasStatus(200)).as("%s: %s", request.identifier(), answer).isTrue();
			assertThat(answer.body()).as(request.identifier()).isEqualTo(this.answers.expected(request.identifier()));
		}
	}

	@Override
	public void close() throws Exception {
		for (InFlight request : this.requests) {
			request.connection().close();
		}
	}

	/**
	 * A request without a complete answer.
	 *
	 * @param identifier its identifier
	 * @param connection its connection
	 */
	private record InFlight(String identifier, KeptConnection connection) {
	}

}
