package sycamorehill.cli;

/**
 * Entry point of the binary.
 */
public final class SycamorehillCommand {

	private SycamorehillCommand() {
	}

	/**
	 * Runs one command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.out.println("sycamorehill");
	}

}
