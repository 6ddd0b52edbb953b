package sycamorehill;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Comments of the serving path say why, not how a value was found: figures of runs belong
 * into commits and into docs/CAPACITY.md.
 */
class CommentTests {

	private static final Path SOURCES = Path.of("src/main/java/sycamorehill");

	private static final List<String> PACKAGES = List.of("entry", "platform", "logic/entry", "logic/dispatch",
			"logic/directory", "logic/layout", "model/serving");

	private static final Pattern COMMENT = Pattern.compile("^\\s*(//|/?\\*).*");

	private static final Pattern STORY = Pattern.compile(
			"\\b(measured|(means? of|two|three|five) plays|was no better|priced|trials?|standard days?|\\d%|tuned)\\b",
			Pattern.CASE_INSENSITIVE);

	private static boolean tellsAStory(String line) {
		return COMMENT.matcher(line).matches() && STORY.matcher(line).find();
	}

	private static Stream<String> lines(Path file) {
		try {
			return Files.readAllLines(file).stream().map((line) -> file + ": " + line.strip());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Stream<Path> files(String name) {
		try (Stream<Path> files = Files.walk(SOURCES.resolve(name))) {
			return files.filter((file) -> file.toString().endsWith(".java")).toList().stream();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Test
	void commentsOfTheServingPathTellNoStoryOfTuning() {
		Stream<String> all = PACKAGES.stream().flatMap(CommentTests::files).flatMap(CommentTests::lines);
		assertThat(all.filter((line) -> tellsAStory(line.substring(line.indexOf(": ") + 2)))).isEmpty();
	}

	@Test
	void findsSuchStories() {
		assertThat(List.of("	 * waited, means of five plays. Drawing 2 was no better.", "// measured: 170 ms",
				"	/** Time between two renewals; each is a priced write. */"))
			.allMatch(CommentTests::tellsAStory);
		assertThat(List.of("	 * Time that a request waits for a slot.", "	int measured = 3;"))
			.noneMatch(CommentTests::tellsAStory);
	}

}
