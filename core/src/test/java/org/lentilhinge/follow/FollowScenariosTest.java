package org.lentilhinge.follow;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the scenarios of following the published configuration. */
@CucumberOptions(
    features = "classpath:org/lentilhinge/follow",
    glue = "org.lentilhinge.follow",
    plugin = "summary")
public class FollowScenariosTest extends AbstractTestNGCucumberTests {}
