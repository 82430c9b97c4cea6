package org.wingstall.load;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The tool's command line. */
final class LoadParser {
    private LoadParser() {}

    static ArgumentParser create() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-load")
                .build()
                .description("Puts an open-loop load on gateways; latencies count from the planned arrival.");
        Subparsers commands = parser.addSubparsers().dest("command");
        for (String name : List.of("run", "compare", "sweep")) {
            Subparser command = commands.addParser(name);
            command.addArgument("--scenario").required(true).metavar("FILE").help("scenario, in YAML");
            command.addArgument("--policy")
                    .required(true)
                    .nargs("+")
                    .metavar("NAME=ADDRESS,ADDRESS")
                    .help("gateways of a policy; compare takes several in turn and gives ratios to the first");
            command.addArgument("--endpoint").nargs("+").setDefault(List.of()).metavar("NAME=ADDRESS");
            command.addArgument("--seed").type(Long.class).setDefault(1L);
            command.addArgument("--repeats").type(Integer.class).setDefault(name.equals("run") ? 1 : 3);
            if (name.equals("sweep")) {
                command.addArgument("--factors")
                        .nargs("+")
                        .type(Double.class)
                        .setDefault(List.of(0.5, 1.0, 2.0, 3.0))
                        .help("arrival rates, relative to the scenario's");
            }
            command.addArgument("--out").metavar("FOLDER").help("write report.json and report.html there");
        }
        commands.addParser("slopes").help("memory, bytes and times of the gateway's state at growing sizes");
        Subparser direct = commands.addParser("direct").help("closed-loop calls, for the gateway's own cost");
        direct.addArgument("--target").required(true).metavar("ADDRESS");
        direct.addArgument("--path").required(true);
        direct.addArgument("--body").required(true).metavar("JSON");
        direct.addArgument("--connections").type(Integer.class).setDefault(32);
        direct.addArgument("--seconds").type(Integer.class).setDefault(5);
        return parser;
    }
}
