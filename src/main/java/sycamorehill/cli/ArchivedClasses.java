package sycamorehill.cli;

import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Loads the classes that serve requests, so that the build's class archive holds them.
 * Without this each start reads and verifies them again when its first requests come, at
 * the time when callers wait for them.
 */
final class ArchivedClasses {

	private static final String SUFFIX = ".class";

	private static final List<String> PACKAGES = List.of("sycamorehill/entry/", "sycamorehill/logic/directory/",
			"sycamorehill/logic/dispatch/", "sycamorehill/logic/entry/", "sycamorehill/logic/layout/",
			"sycamorehill/model/", "sycamorehill/platform/", "io/netty/handler/codec/http/Http",
			"io/netty/handler/codec/http/Default", "io/netty/channel/", "io/netty/buffer/Unpooled",
			"com/dynatrace/hash4j/hashing/XXH3", "com/dynatrace/hash4j/hashing/AbstractHash",
			"com/fasterxml/jackson/databind/node/", "com/fasterxml/jackson/core/json/", "org/msgpack/core/",
			"org/msgpack/jackson/");

	private ArchivedClasses() {
	}

	/**
	 * Loads the classes from the program's own file.
	 * @return the number of classes loaded
	 * @throws IOException if the file can't be read
	 */
	static int load() throws IOException {
		int loaded = 0;
		try (JarFile program = new JarFile(new File(System.getProperty("java.class.path")))) {
			for (JarEntry entry : program.stream().filter(ArchivedClasses::serves).toList()) {
				loaded += load(entry.getName()) ? 1 : 0;
			}
		}
		return loaded;
	}

	private static boolean serves(JarEntry entry) {
		String name = entry.getName();
		return name.endsWith(SUFFIX) && !name.endsWith("-info.class") && PACKAGES.stream().anyMatch(name::startsWith);
	}

	// Libraries hold classes for platforms and options that are not here.
	private static boolean load(String file) {
		String name = file.substring(0, file.length() - SUFFIX.length()).replace('/', '.');
		try {
			Class.forName(name, false, ArchivedClasses.class.getClassLoader());
			return true;
		}
		catch (ClassNotFoundException | LinkageError ex) {
			EventLog.write(LogLine.of(LogEvent.EFFECT_FAILED, "class not recorded name=" + name + " cause=" + ex));
			return false;
		}
	}

}
