package sycamorehill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.http.HttpAnswer;

/**
 * Files a ticket.
 */
@Command(name = "file", description = "Files a change ticket; filing the same file again is safe")
public final class TicketFileCommand extends NodeCommand {

	private static final int CREATED = 201;

	private static final int NOT_KNOWN = 504;

	@Arguments(title = "FILE", description = "The ticket in JSON")
	@Required
	private String file;

	@Override
	public int run() throws Exception {
		HttpAnswer answer = post("/operator/tickets", read());
		JsonNode body = tree(answer);
		print(answer, () -> printText(answer.status(), body));
		return switch (answer.status()) {
			case CREATED -> ExitCode.DONE;
			case NOT_KNOWN -> ExitCode.NOT_KNOWN;
			default -> ExitCode.REFUSED;
		};
	}

	private String read() {
		try {
			return Files.readString(Path.of(this.file));
		}
		catch (IOException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE, "the ticket file can't be read: " + ex.getMessage());
		}
	}

	private static void printText(int status, JsonNode body) {
		if (status == CREATED) {
			System.out.println("accepted as ticket " + body.path("number").asLong());
		}
		else if (status == NOT_KNOWN) {
			System.out.println("not known: " + body.path("detail").asText() + "; file the same ticket again");
		}
		else {
			System.out.println("refused" + (body.has("detail") ? ": " + body.path("detail").asText() : ""));
			body.path("faults").forEach((fault) -> System.out.println("  " + fault.asText()));
			body.path("presentItems")
				.forEach((item) -> System.out
					.println("  now: ticket " + item.path("setBy").asLong() + " " + item.path("item")));
		}
	}

}
