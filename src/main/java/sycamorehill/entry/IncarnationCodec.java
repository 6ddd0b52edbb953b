package sycamorehill.entry;

import java.util.OptionalLong;

import io.netty.handler.codec.http.FullHttpRequest;

import sycamorehill.model.serving.TargetAddress;

/**
 * Translates the question which process of a target answers.
 */
public interface IncarnationCodec {

	/**
	 * Creates the question, which targets answer at once and which runs nothing.
	 * @param target the target that is expected to answer
	 * @return the question
	 */
	FullHttpRequest question(TargetAddress target);

	/**
	 * Reads the start time of the process that has answered the question.
	 * @param answer the body of the answer
	 * @return the time in milliseconds by its own wall clock; empty if it names none
	 */
	OptionalLong readStartMillis(byte[] answer);

}
