package sycamorehill.logic.request;

/**
 * Decision on one frame, with the relay for the next frame.
 *
 * @param status the status of the frame
 * @param relay the relay after the frame
 */
public record FrameDecision(FrameStatus status, TokenRelay relay) {

}
