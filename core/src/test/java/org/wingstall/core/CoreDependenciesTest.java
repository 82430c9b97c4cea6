package org.wingstall.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CoreDependenciesTest {
    private final JavaClasses core = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.wingstall.core");

    @DataProvider
    Object[][] forbidden() {
        return new Object[][] {
            {"io.netty.."},
            {"org.wingstall.net.."},
            {"org.wingstall.gateway.."},
            {"java.nio.channels.."},
            {"org.apache.logging.."},
            {"java.util.concurrent.locks.."},
        };
    }

    @Test(dataProvider = "forbidden")
    public void coreDoesNotDependOn(String packages) {
        noClasses().should().dependOnClassesThat().resideInAPackage(packages).check(core);
    }

    @Test
    public void coreDoesNotReadSystemClock() {
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(core);
        noClasses().should().callMethod(System.class, "nanoTime").check(core);
    }
}
