package sycamorehill.logic.request;

/**
 * A verdict on one frame and the relay after it.
 *
 * @param status what becomes of the frame
 * @param relay the relay for the next frame
 */
public record FrameDecision(FrameStatus status, TokenRelay relay) {

}
