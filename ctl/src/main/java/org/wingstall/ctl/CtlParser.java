package org.wingstall.ctl;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The arguments of the client. */
final class CtlParser {
    static final String PLATFORM_VARIABLE = "WINGSTALL_PLATFORM";
    static final String GATEWAY_VARIABLE = "WINGSTALL_GATEWAY";

    private static final String EPILOG =
            """
            examples:
              wingstallctl table show pipeline
              wingstallctl table set workspace/school-contract weight=3 --expect weight=1
              wingstallctl table import pipelines.yaml
              wingstallctl fleet status
              wingstallctl fleet engines
              cat box-*.log | wingstallctl request explain 8d945a4c76dd8568
            exit codes: 0 done, 1 no answer, 2 not valid, 3 conflict with another edit, 4 not found""";

    private CtlParser() {}

    static ArgumentParser create() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstallctl")
                .build()
                .description("The operators' client: the table, the fleet, single requests.")
                .epilog(EPILOG);
        parser.addArgument("--platform")
                .setDefault(System.getenv(PLATFORM_VARIABLE))
                .metavar("ADDRESS")
                .help("IP address and port of the platform; or " + PLATFORM_VARIABLE);
        parser.addArgument("--gateway")
                .setDefault(System.getenv(GATEWAY_VARIABLE))
                .metavar("ADDRESS")
                .help("operator address of any gateway; or " + GATEWAY_VARIABLE);
        parser.addArgument("--format").choices("text", "csv", "json").setDefault("text");
        parser.addArgument("--operator")
                .setDefault(System.getProperty("user.name"))
                .help("who makes an edit");
        Subparsers groups = parser.addSubparsers().dest("group");
        addTable(groups.addParser("table").help("rows of pipelines, workspaces and box classes"));
        addFleet(groups.addParser("fleet").help("gateways as one of them sees them"));
        addRequest(groups.addParser("request").help("requests that ended lately at a gateway"));
        addConfig(groups.addParser("config").help("files"));
        return parser;
    }

    private static void addTable(Subparser table) {
        Subparsers commands = table.addSubparsers().dest("command");
        Subparser show = commands.addParser("show").help("show rows");
        show.addArgument("kind").nargs("?").choices("pipeline", "workspace", "box-class", "engine");
        Subparser set = commands.addParser("set").help("set columns of one row by compare-and-set");
        set.addArgument("key").help("such as workspace/school-contract");
        set.addArgument("assignment").nargs("+").help("column=value; a value is read as JSON, else as text");
        set.addArgument("--expect").nargs("+").setDefault(java.util.List.of()).help("column=value that must hold now");
        Subparser remove = commands.addParser("remove").help("remove one row");
        remove.addArgument("key");
        Subparser load = commands.addParser("import").help("replace rows by those of a file");
        load.addArgument("file");
        commands.addParser("export").help("print all rows as YAML that import takes");
        Subparser history = commands.addParser("history").help("show the last edits");
        history.addArgument("--last").type(Integer.class).setDefault(20);
    }

    private static void addFleet(Subparser fleet) {
        Subparsers commands = fleet.addSubparsers().dest("command");
        commands.addParser("status").help("revisions, peers, endpoints");
        commands.addParser("engines").help("what the engines of the gateway's failure domain have loaded");
    }

    private static void addRequest(Subparser request) {
        Subparsers commands = request.addSubparsers().dest("command");
        Subparser show = commands.addParser("show").help("outcome and cost by stage");
        show.addArgument("id");
        Subparser explain = commands.addParser("explain").help("a request's way, from log lines on standard input");
        explain.addArgument("id");
    }

    private static void addConfig(Subparser config) {
        Subparser check =
                config.addSubparsers().dest("command").addParser("check").help("check a settings or import file");
        check.addArgument("file");
    }
}
