package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests reading the store during and after its outages.
 */
class FeedReaderTests {

	private static final FeedReader.Pace PACE = new FeedReader.Pace(Duration.ofMillis(1500), Duration.ofMillis(1),
			false);

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	@AfterEach
	void end() {
		this.executor.shutdownNow();
	}

	// The store becomes unreachable and recovers while a call waits on a dead connection.
	// A configuration that is accepted at that moment must be in effect 2 s later: after
	// the first failure calls don't wait, so that the next one detects the recovery.
	@Test
	void callsDoNotWaitWhileTheStoreIsUnreachable() throws Exception {
		FailingFeed feed = new FailingFeed();
		CountDownLatch reachableAgain = new CountDownLatch(1);
		List<Boolean> contacts = new ArrayList<>();
		FeedReader.of(() -> PACE, "test", feed, this.executor, new FeedReader.Listener<>() {

			@Override
			public void handleList(Feed.Page<String> all) {
				contacts.add(true);
			}

			@Override
			public void handleChanges(Feed.Page<String> changes, long since) {
				contacts.add(true);
				reachableAgain.countDown();
			}

			@Override
			public void handleUnreachable() {
				contacts.add(false);
			}

		}).start();
		assertThat(reachableAgain.await(5, TimeUnit.SECONDS)).isTrue();
		assertThat(feed.waits).containsExactly(Duration.ofMillis(1500), Duration.ZERO, Duration.ZERO);
		assertThat(contacts).startsWith(true, false, false, true);
	}

	// An error while an answer is handled must not end the calls: the node would keep the
	// configuration that it has for good.
	@Test
	void anErrorInTheHandlingOfAnAnswerDoesNotEndTheCalls() throws Exception {
		FailingFeed feed = new FailingFeed();
		CountDownLatch listedAgain = new CountDownLatch(1);
		AtomicBoolean failed = new AtomicBoolean();
		FeedReader.of(() -> PACE, "test", feed, this.executor, new FeedReader.Listener<>() {

			@Override
			public void handleList(Feed.Page<String> all) {
				if (failed.compareAndSet(false, true)) {
					throw new OutOfMemoryError("thrown by a test");
				}
				listedAgain.countDown();
			}

			@Override
			public void handleChanges(Feed.Page<String> changes, long since) {
				// No changes are delivered in this test.
			}

		}).start();
		assertThat(listedAgain.await(5, TimeUnit.SECONDS)).isTrue();
	}

	// The store no longer holds the changes: the reader must list all objects again.
	@Test
	void readsEverythingAgainWhenHistoryIsGone() throws Exception {
		FailingFeed feed = new FailingFeed();
		feed.historyGone = true;
		CountDownLatch listedTwice = new CountDownLatch(2);
		FeedReader.of(() -> PACE, "test", feed, this.executor, new FeedReader.Listener<>() {

			@Override
			public void handleList(Feed.Page<String> all) {
				listedTwice.countDown();
			}

			@Override
			public void handleChanges(Feed.Page<String> changes, long since) {
				// No changes are delivered in this test.
			}

		}).start();
		assertThat(listedTwice.await(5, TimeUnit.SECONDS)).isTrue();
	}

	// Guards against changes that can't be read and are read again and again: the node
	// would take the store for unreachable for good.
	@Test
	void listsAgainWhenTheChangesAreUnreadable() throws Exception {
		CountDownLatch listedTwice = new CountDownLatch(2);
		ListedFeed feed = new ListedFeed() {

			@Override
			public CompletableFuture<Page<String>> changes(long since, Duration wait) {
				return CompletableFuture.failedFuture(new UnreadablePageException("written by a test"));
			}

		};
		FeedReader.of(() -> PACE, "test", feed, this.executor, listener(listedTwice, new CountDownLatch(1))).start();
		assertThat(listedTwice.await(5, TimeUnit.SECONDS)).isTrue();
	}

	// The store no longer holds the changes that this node missed, while another node
	// reports later revisions. The removal of a target in between is visible only in a
	// list: without it, the node would send requests to that target indefinitely.
	@Test
	void listsAgainAlthoughLaterRevisionsAreReported() throws Exception {
		FailingFeed feed = new FailingFeed();
		feed.historyGone = true;
		CountDownLatch listed = new CountDownLatch(1);
		CountDownLatch listedAgain = new CountDownLatch(2);
		FeedReader<String> reader = FeedReader.of(
				() -> new FeedReader.Pace(Duration.ofMillis(1500), Duration.ofMillis(500), true), "test", feed,
				this.executor, new FeedReader.Listener<>() {

					@Override
					public void handleList(Feed.Page<String> all) {
						listed.countDown();
						listedAgain.countDown();
					}

					@Override
					public void handleChanges(Feed.Page<String> changes, long since) {
						// No changes are delivered, because the history is gone.
					}

				});
		reader.start();
		assertThat(listed.await(5, TimeUnit.SECONDS)).isTrue();
		this.executor.execute(reader::readNow);
		this.executor.scheduleAtFixedRate(() -> reader.advanceRevision(1), 50, 50, TimeUnit.MILLISECONDS);
		assertThat(listedAgain.await(5, TimeUnit.SECONDS)).isTrue();
	}

	// Another node forwards the store updates to this one: the reader makes no calls
	// except one that is requested after a missed update.
	@Test
	void makesNoCallsWhilePausedExceptOnRequest() throws Exception {
		RecordingFeed feed = new RecordingFeed();
		CountDownLatch listed = new CountDownLatch(1);
		CountDownLatch read = new CountDownLatch(1);
		FeedReader<String> reader = FeedReader.of(
				() -> new FeedReader.Pace(Duration.ofMillis(1500), Duration.ofMillis(1), true), "test", feed,
				this.executor, listener(listed, read));
		reader.start();
		assertThat(listed.await(5, TimeUnit.SECONDS)).isTrue();
		Thread.sleep(250);
		assertThat(feed.requestedRevisions).isEmpty();
		this.executor.execute(() -> {
			reader.advanceRevision(7);
			reader.readNow();
		});
		assertThat(read.await(5, TimeUnit.SECONDS)).isTrue();
		Thread.sleep(250);
		assertThat(feed.requestedRevisions).containsExactly(7L);
	}

	// A call waits in the store while another node forwards the changes. The answer
	// repeats them and could bring back the entry of a target that has left: it must be
	// skipped.
	@Test
	void outdatedAnswerIsSkipped() throws Exception {
		RecordingFeed feed = new RecordingFeed();
		CountDownLatch listed = new CountDownLatch(1);
		CountDownLatch read = new CountDownLatch(1);
		AtomicBoolean reliesOnReader = new AtomicBoolean();
		FeedReader<String> reader = FeedReader.of(
				() -> new FeedReader.Pace(Duration.ofMillis(1500), Duration.ofMillis(1), reliesOnReader.get()), "test",
				feed, this.executor, listener(listed, read));
		feed.waits = true;
		reader.start();
		assertThat(feed.waiting.await(5, TimeUnit.SECONDS)).isTrue();
		reliesOnReader.set(true);
		this.executor.execute(() -> reader.advanceRevision(9));
		this.executor.execute(() -> feed.answer.complete(new Feed.Page<>(List.of("old"), 8)));
		assertThat(read.await(300, TimeUnit.MILLISECONDS)).isFalse();
	}

	private static FeedReader.Listener<String> listener(CountDownLatch listed, CountDownLatch read) {
		return new FeedReader.Listener<>() {

			@Override
			public void handleList(Feed.Page<String> all) {
				listed.countDown();
			}

			@Override
			public void handleChanges(Feed.Page<String> changes, long since) {
				read.countDown();
			}

		};
	}

	/**
	 * Records the revisions after which changes were requested.
	 */
	private static final class RecordingFeed extends ListedFeed {

		private final List<Long> requestedRevisions = new CopyOnWriteArrayList<>();

		private final CompletableFuture<Page<String>> answer = new CompletableFuture<>();

		private final CountDownLatch waiting = new CountDownLatch(1);

		private volatile boolean waits;

		@Override
		public CompletableFuture<Page<String>> changes(long since, Duration wait) {
			this.requestedRevisions.add(since);
			this.waiting.countDown();
			return this.waits ? this.answer : CompletableFuture.completedFuture(new Page<>(List.of("b"), since + 1));
		}

	}

	/**
	 * Returns a list, fails twice, then returns one change.
	 */
	private static final class FailingFeed extends ListedFeed {

		private final List<Duration> waits = new ArrayList<>();

		private boolean historyGone;

		@Override
		public CompletableFuture<Page<String>> changes(long since, Duration wait) {
			if (this.historyGone) {
				return CompletableFuture.failedFuture(new HistoryGoneException());
			}
			if (this.waits.size() >= 3) {
				return new CompletableFuture<>();
			}
			this.waits.add(wait);
			if (this.waits.size() < 3) {
				return CompletableFuture.failedFuture(new IOException("silent"));
			}
			return CompletableFuture.completedFuture(new Page<>(List.of("b"), 2));
		}

	}

	/**
	 * Returns a list of one object.
	 */
	private abstract static class ListedFeed implements Feed<String> {

		@Override
		public CompletableFuture<Page<String>> listCopy() {
			return list();
		}

		@Override
		public CompletableFuture<Page<String>> list() {
			return CompletableFuture.completedFuture(new Page<>(List.of("a"), 1));
		}

	}

}
