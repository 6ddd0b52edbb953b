package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.ServiceFigures;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.Workspace;

/**
 * Leads each request from its arrival to its final answer: finds its route and workspace,
 * chooses targets, sends again where that is safe, and refuses what can't be served.
 */
public final class RequestDesk {

	private static final int UNAVAILABLE = 503;

	/**
	 * Attempts that reached no target, such as refused connections, before a request is
	 * given up; they cost a connection each and run nothing.
	 */
	private static final int MOST_UNREACHED = 4;

	/** Ranks that targets know, 0 to 9; without one a request has rank 5. */
	private static final int LOWEST_RANK = 9;

	/**
	 * The last rank of requests that can be in time; those that will be late come after
	 * it.
	 */
	private static final int LAST_IN_TIME_RANK = 8;

	/**
	 * A rank of the workspace goes before any rank of the route, of which 3 are told
	 * apart.
	 */
	private static final int RANKS_PER_WORKSPACE = 3;

	/**
	 * How long a target that said it is full gets no more work: about one step of its
	 * batch.
	 */
	private static final Duration FULL_ASIDE = Duration.ofMillis(60);

	/** How long a target that is not what the directory says gets no work. */
	private static final Duration WRONG_TARGET_ASIDE = Duration.ofMillis(500);

	/**
	 * How long a target whose answers have all paused gets no work, unless it answers.
	 */
	private static final Duration SILENT_ASIDE = Duration.ofSeconds(2);

	/**
	 * When a caller that another node serves may come back: at once, but not in a loop.
	 */
	private static final Duration COME_BACK_ELSEWHERE = Duration.ofMillis(50);

	private final String nodeName;

	private final TargetDirectory directory;

	private final TargetChoice targets;

	private final RandomGenerator random;

	private final Map<Long, ActiveRequest> active = new HashMap<>();

	private final RetryBudgets budgets;

	private final FinalAnswers answers;

	private final CrashBook crashes = CrashBook.create();

	private final RequestGate gate;

	private RequestDesk(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		this.nodeName = settings.nodeName();
		this.budgets = RetryBudgets.of(settings);
		this.directory = directory;
		this.targets = TargetChoice.of(settings, directory, random);
		this.answers = FinalAnswers.of(random);
		this.gate = RequestGate.of(this.crashes, this.answers::comeBack);
		this.random = random;
	}

	/**
	 * Creates the desk.
	 * @param settings the node's settings
	 * @param directory the targets seen
	 * @param random feeds all random choices
	 * @return the desk
	 */
	public static RequestDesk of(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		return new RequestDesk(settings, directory, random);
	}

	/**
	 * Routes by another configuration from now on.
	 * @param adopted the configuration
	 */
	public void adopt(Configuration adopted) {
		this.gate.adopt(adopted);
	}

	/**
	 * Counts the requests without a final answer.
	 * @return the number of requests
	 */
	public int activeRequests() {
		return this.active.size();
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @param since when it came
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void arrived(CallerRequest request, Instant since, Instant now, Effects effects) {
		RequestGate.Decision decision = this.gate.decide(request);
		if (decision instanceof RequestGate.Refused refused) {
			refuseUnrouted(request, refused, effects);
		}
		else if (decision instanceof RequestGate.Admitted admitted) {
			admitted(request, admitted, since, now, effects);
		}
	}

	private void admitted(CallerRequest request, RequestGate.Admitted admitted, Instant since, Instant now,
			Effects effects) {
		ServiceName service = admitted.route().service(this.random.nextDouble());
		ActiveRequest active = ActiveRequest.of(request, admitted.route(), service, admitted.workspace(), since);
		this.active.put(request.number(), active);
		effects.add(new EntryEffect.BoundRequest(request.number(), active.timeLeft(now)));
		this.budgets.of(service).request(now);
		place(active, "no target can take it", now, effects);
	}

	/**
	 * Refuses a request because this node stops; another one takes it at once.
	 * @param request the request
	 * @param effects collects what is wanted
	 */
	public void refuseStopping(CallerRequest request, Effects effects) {
		refuseUnrouted(request,
				new RequestGate.Refused(UNAVAILABLE, "not run: this node stops", Optional.of(COME_BACK_ELSEWHERE)),
				effects);
	}

	private void refuseUnrouted(CallerRequest request, RequestGate.Refused refused, Effects effects) {
		String version = this.gate.configuration().map((known) -> String.valueOf(known.version())).orElse("none");
		this.answers.unrouted(request,
				new EntryEffect.Answer(request.number(), refused.status(), refused.detail(), refused.retryAfter()),
				version, effects);
	}

	private void place(ActiveRequest active, String otherwise, Instant now, Effects effects) {
		Configuration known = this.gate.configuration().orElseThrow();
		TargetChoice.Place place = this.targets.choose(active, known, now);
		if (place.entrance() == Admission.Entrance.REFUSED) {
			giveUp(active, place.choice().isEmpty() ? otherwise : "all targets are full", now, effects);
			return;
		}
		int rank = (place.entrance() == Admission.Entrance.LATE) ? LOWEST_RANK : rank(active);
		start(active, place.choice().orElseThrow().candidate(), known, rank, now, effects);
	}

	private void start(ActiveRequest active, Candidate candidate, Configuration known, int rank, Instant now,
			Effects effects) {
		TargetName name = candidate.entry().name();
		int attempt = active.begin(name, now);
		this.targets.sent(candidate, now);
		candidate.engines().ifPresent((engines) -> reads(active, candidate, engines, now, effects));
		int connections = known.service(active.service()).map(ServiceFigures::maximumConnections).orElse(1);
		RequestKind kind = active.route().kind();
		boolean more = kind == RequestKind.IDEMPOTENT && active.targetsReached() + 1 < active.route().maximumAttempts();
		effects.add(new EntryEffect.StartAttempt(active.request().number(), attempt,
				new TargetAddress(name, candidate.entry().address()), connections, new EntryEffect.Handling(kind, more),
				active.workspace().map(Workspace::name), rank));
	}

	// Prompts that several nodes send to one target within some milliseconds are read
	// together, and hold up its streams. A report of the load comes too late.
	private void reads(ActiveRequest active, Candidate candidate, EngineFigures engines, Instant now, Effects effects) {
		TargetName name = candidate.entry().name();
		Duration reading = Placement.reading(engines, candidate.model().orElseThrow(), active.request().size());
		load(name).reads(reading, now);
		if (this.targets.fewNodes()) {
			effects.add(new EntryEffect.TellAll(new NodeMessage.Placed(this.nodeName, name, reading)));
		}
	}

	private static int rank(ActiveRequest active) {
		int workspaceRank = active.workspace().map(Workspace::priority).orElse(1);
		return Math.min(LAST_IN_TIME_RANK,
				workspaceRank * RANKS_PER_WORKSPACE + Math.min(2, active.route().priority()));
	}

	/**
	 * Notes the first event of an attempt's answer.
	 * @param number the request
	 * @param now the present time
	 */
	public void begun(long number, Instant now) {
		ActiveRequest request = this.active.get(number);
		if (request == null) {
			return;
		}
		if (!request.answerBegun()) {
			request.answerBegan(Duration.between(request.arrived(), now));
		}
		request.target()
			.ifPresent((target) -> load(target).answered(Duration.between(request.attemptStarted(), now), now));
	}

	/**
	 * Takes the end of an attempt.
	 * @param number the request
	 * @param attempt the attempt's number
	 * @param end how it ended
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void ended(long number, int attempt, AttemptEnd end, Instant now, Effects effects) {
		ActiveRequest request = this.active.get(number);
		if (request == null || request.attempts() != attempt || request.target().isEmpty()) {
			return;
		}
		TargetName target = request.target().get();
		load(target).ended();
		request.ended();
		boolean repeatable = request.route().kind().repeatable();
		if (end instanceof AttemptEnd.Delivered delivered) {
			delivered(request, target, delivered, now, effects);
		}
		else if (end instanceof AttemptEnd.NotRun notRun) {
			notRun(request, target, notRun, now, effects);
		}
		else if (end instanceof AttemptEnd.Failed failed) {
			request.reachedTarget();
			request.ran();
			request.holdFailure();
			sendAgain(request, target, "status " + failed.status(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Unknown unknown) {
			request.reachedTarget();
			request.ran();
			load(target).failed(now);
			lost(request, target, effects);
			sendAgain(request, target, unknown.cause(), repeatable, now, effects);
		}
		else if (end instanceof AttemptEnd.Broken broken) {
			request.reachedTarget();
			request.ran();
			load(target).failed(now);
			lost(request, target, effects);
			boolean resumable = broken.resumable() && request.route().kind() == RequestKind.RESUMABLE_STREAM;
			sendAgain(request, target, broken.cause(), resumable, now, effects);
		}
	}

	private void lost(ActiveRequest request, TargetName target, Effects effects) {
		long content = request.request().content();
		this.crashes.lost(content, target);
		effects.add(new EntryEffect.TellAll(new NodeMessage.Suspicion(this.nodeName, content, target)));
	}

	/**
	 * Takes what another node told.
	 * @param message the message
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void heard(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.Loads told) {
			this.targets.loads().heard(told, now);
		}
		else if (message instanceof NodeMessage.LoadsAdded added) {
			added.sums().forEach((sum) -> this.targets.loads().heard(sum, now));
		}
		else if (message instanceof NodeMessage.Placed placed) {
			this.targets.loads().heard(placed, now);
		}
		else if (message instanceof NodeMessage.TargetLimited limited) {
			this.targets.limits().heard(limited, now, effects);
		}
		else if (message instanceof NodeMessage.Suspicion suspicion) {
			this.crashes.lost(suspicion.content(), suspicion.target());
		}
		else if (message instanceof NodeMessage.Cleared cleared) {
			this.crashes.cleared(cleared.content());
		}
	}

	/**
	 * Counts the requests that a target has from all nodes, as far as it is known.
	 * @param target the target
	 * @param now the present time
	 * @return the number of requests
	 */
	public int requests(TargetName target, Instant now) {
		return this.targets.loads().requests(target, now);
	}

	/**
	 * Tells how many requests this node has with each target.
	 * @return the numbers
	 */
	public Map<TargetName, Integer> inFlight() {
		return this.targets.loads().inFlight();
	}

	/**
	 * Shares out anew what all nodes may send together.
	 * @param living number of nodes that live, this one with them
	 * @param others the other nodes, as far as each is known
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void nodes(int living, List<NodeRecord> others, Instant now, Effects effects) {
		this.budgets.nodes(living);
		this.targets.nodes(living, others, now, effects);
	}

	/**
	 * Goes by other settings from now on.
	 * @param read the settings
	 */
	public void settings(EntrySettings read) {
		this.budgets.settings(read);
	}

	private void delivered(ActiveRequest request, TargetName target, AttemptEnd.Delivered delivered, Instant now,
			Effects effects) {
		if (!request.route().kind().streaming()) {
			load(target).answered(Duration.between(request.attemptStarted(), now), now);
		}
		this.active.remove(request.request().number());
		long content = request.request().content();
		if (this.crashes.suspected(content)) {
			this.crashes.cleared(content);
			effects.add(new EntryEffect.TellAll(new NodeMessage.Cleared(this.nodeName, content)));
		}
		this.answers.delivered(request, target, delivered, now, effects);
	}

	private void notRun(ActiveRequest request, TargetName target, AttemptEnd.NotRun notRun, Instant now,
			Effects effects) {
		switch (notRun.cause()) {
			case NOT_SENT -> load(target).failed(now);
			case WRONG_TARGET -> wrongTarget(request, target, now);
			case REFUSED -> load(target).aside(now, FULL_ASIDE);
		}
		boolean unreached = notRun.cause() == NotRunCause.NOT_SENT;
		if (!unreached) {
			request.reachedTarget();
		}
		boolean allowed = unreached ? request.attempts() - request.targetsReached() < MOST_UNREACHED
				: mayRepeat(request, now);
		String cause = "not run by " + target + ": " + notRun.cause();
		if (!allowed) {
			giveUp(request, cause, now, effects);
			return;
		}
		logAgain(request, target, cause, now, effects);
		place(request, cause, now, effects);
	}

	// A stream that goes on asks for the weights that it began with, and is also refused
	// by a head that serves others.
	private void wrongTarget(ActiveRequest request, TargetName target, Instant now) {
		load(target).aside(now, WRONG_TARGET_ASIDE);
		if (request.answerBegun()) {
			return;
		}
		this.directory.find(target)
			.flatMap(TargetEntry::membership)
			.ifPresent((seat) -> this.targets.ended(seat.group(), seat.epoch(), now));
	}

	/**
	 * Notes that a group serves no more, before the directory shows it.
	 * @param head the engine that took its requests
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void groupEnded(TargetName head, String group, long epoch, Instant now, Effects effects) {
		this.targets.ended(group, epoch, now);
		moveStreams(head, now, effects);
	}

	private void sendAgain(ActiveRequest request, TargetName target, String cause, boolean allowed, Instant now,
			Effects effects) {
		if (!allowed || !mayRepeat(request, now)) {
			giveUp(request, cause, now, effects);
			return;
		}
		logAgain(request, target, cause, now, effects);
		place(request, cause, now, effects);
	}

	private boolean mayRepeat(ActiveRequest request, Instant now) {
		return request.targetsReached() < request.route().maximumAttempts() && !request.timeLeft(now).isNegative()
				&& this.budgets.of(request.service()).take(now);
	}

	private void logAgain(ActiveRequest request, TargetName target, String cause, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_SENT_AGAIN, FinalAnswers.describe(request, now) + " from=" + target + " cause='"
				+ cause + "' begun=" + request.answerBegun());
	}

	private void giveUp(ActiveRequest request, String cause, Instant now, Effects effects) {
		this.active.remove(request.request().number());
		this.answers.givenUp(request, cause, now, effects);
	}

	/**
	 * Answers a request whose time is over.
	 * @param number the request
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void timedOut(long number, Instant now, Effects effects) {
		ActiveRequest request = this.active.get(number);
		if (request == null) {
			return;
		}
		request.target().ifPresent((target) -> {
			load(target).ended();
			request.ran();
			effects.add(new EntryEffect.CancelAttempt(number, request.attempts()));
		});
		if (request.answerBegun() || request.failureHeld() || !request.mayHaveRun()) {
			giveUp(request, "time is over", now, effects);
			return;
		}
		this.active.remove(number);
		this.answers.timeOver(request, now, effects);
	}

	/**
	 * Forgets a request whose caller left.
	 * @param number the request
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void callerGone(long number, Instant now, Effects effects) {
		ActiveRequest request = this.active.remove(number);
		if (request != null) {
			request.target().ifPresent((target) -> load(target).ended());
			this.answers.abandoned(request, now, effects);
		}
	}

	/**
	 * All answers of a target have paused: a member of its group was lost, or the target
	 * itself. Streams that can go on elsewhere do; others wait, for silence alone is no
	 * reason to end an answer.
	 * @param target the target
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void silent(TargetName target, Instant now, Effects effects) {
		load(target).aside(now, SILENT_ASIDE);
		effects.log(LogEvent.TARGET_SILENT, "target=" + target + " in-flight=" + load(target).inFlight());
		moveStreams(target, now, effects);
	}

	/**
	 * Other nodes have found a target silent. A node that has streams there which have
	 * begun sees for itself whether they go on: two nodes behind a link that loses
	 * packets may be wrong for all others.
	 * @param target the target
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void silentElsewhere(TargetName target, Instant now, Effects effects) {
		boolean seesForItself = this.active.values()
			.stream()
			.anyMatch((request) -> request.answerBegun() && request.target().filter(target::equals).isPresent());
		if (!seesForItself) {
			silent(target, now, effects);
		}
	}

	private void moveStreams(TargetName target, Instant now, Effects effects) {
		for (ActiveRequest request : List.copyOf(this.active.values())) {
			boolean here = request.target().filter(target::equals).isPresent();
			if (here && request.route().kind() == RequestKind.RESUMABLE_STREAM && hasAlternative(request, now)
					&& mayRepeat(request, now)) {
				effects.add(new EntryEffect.CancelAttempt(request.request().number(), request.attempts()));
				load(target).ended();
				request.ended();
				request.reachedTarget();
				request.ran();
				logAgain(request, target, "silent", now, effects);
				place(request, "the target fell silent", now, effects);
			}
		}
	}

	private boolean hasAlternative(ActiveRequest request, Instant now) {
		if (request.targetsReached() + 1 >= request.route().maximumAttempts()) {
			return false;
		}
		return this.targets.possible(request, this.gate.configuration().orElseThrow(), now);
	}

	/**
	 * Takes what a target told of itself with an answer.
	 * @param told what it told
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void told(EntryEvent.TargetTold told, Instant now, Effects effects) {
		told.load().ifPresent((load) -> load(told.target()).told(load, now));
		Instant sentAt = Optional.ofNullable(this.active.get(told.number()))
			.filter((request) -> request.target().filter(told.target()::equals).isPresent())
			.map(ActiveRequest::attemptStarted)
			.orElse(Instant.MIN);
		this.targets.limits().answered(told.target(), told.limit(), sentAt, now, effects);
	}

	/**
	 * Forgets a target that ended.
	 * @param target the target
	 */
	public void forget(TargetName target) {
		this.targets.forget(target);
	}

	private TargetLoad load(TargetName target) {
		return this.targets.load(target);
	}

}
