package org.lentilhinge.grant;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the Cucumber scenarios of ownership and grants. */
@CucumberOptions(
    features = "classpath:org/lentilhinge/grant",
    glue = "org.lentilhinge.grant",
    publish = false)
public class OwnershipScenariosTest extends AbstractTestNGCucumberTests {}
