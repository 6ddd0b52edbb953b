package sycamorehill;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Holds the layers: plain data, decisions, edges.
 */
class ArchitectureTests {

	private static final JavaClasses CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("sycamorehill");

	@Test
	void modelDependsOnNothingOfOurs() {
		noClasses().that()
			.resideInAPackage("sycamorehill.model..")
			.should()
			.dependOnClassesThat()
			.resideOutsideOfPackages("sycamorehill.model..", "java..", "org.pcollections..")
			.allowEmptyShould(true)
			.check(CLASSES);
	}

	@Test
	void logicDependsOnModelOnly() {
		noClasses().that()
			.resideInAPackage("sycamorehill.logic..")
			.should()
			.dependOnClassesThat()
			.resideOutsideOfPackages("sycamorehill.logic..", "sycamorehill.model..", "java..", "org.pcollections..",
					"com.dynatrace.hash4j..")
			.allowEmptyShould(true)
			.check(CLASSES);
	}

	@Test
	void logicStartsNoThreadAndReadsNoClock() {
		noClasses().that()
			.resideInAPackage("sycamorehill.logic..")
			.should()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.Thread")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(java.time.Instant.class, "now")
			.allowEmptyShould(true)
			.check(CLASSES);
	}

}
