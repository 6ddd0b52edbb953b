package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import sycamorehill.support.CutAnswer;

/**
 * Answers of a target that cuts those to some requests, as their identifiers say. Half of
 * the cuts come with the bytes before them, the others a little later.
 */
final class CutResponder {

	private static final int PAUSE_MILLIS = 1;

	private CutResponder() {
	}

	/**
	 * Cuts the answer to a request whose identifier says so.
	 * @param request the request
	 * @param out receives the answer
	 * @param other answers the other requests
	 * @return whether the connection stays open
	 * @throws IOException if the node closed the connection
	 */
	static boolean respond(String request, OutputStream out, RawTarget.Responder other) throws IOException {
		String identifier = LoopbackCluster.identifier(request);
		if (!identifier.startsWith("c")) {
			return other.respond(request, out);
		}
		CutAnswer.Cut cut = CutAnswer.Cut.parse(identifier);
		write(out, cut.sentHead());
		if (!cut.sentBody().isEmpty()) {
			pause();
			write(out, cut.sentBody());
		}
		if (cut.isWhole() && !cut.answer().isUnframed()) {
			return true;
		}
		end(out, cut.reset(), cut.bytes() % 2 == 0);
		return false;
	}

	/**
	 * Ends a connection.
	 * @param out the output of the connection
	 * @param reset whether it is reset, rather than closed
	 * @param later whether it ends a little after what was written
	 * @throws IOException if the node closed the connection
	 */
	static void end(OutputStream out, boolean reset, boolean later) throws IOException {
		if (later) {
			pause();
		}
		if (reset) {
			RawTarget.reset(out);
		}
		else {
			out.close();
		}
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
