package sycamorehill.gateway;

/**
 * A request that can't be read; nothing of it was run.
 */
final class BadRequestException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private BadRequestException(String message) {
		super(message);
	}

	static BadRequestException of(String message) {
		return new BadRequestException(message);
	}

}
