import { LocalCluster } from "../standins/LocalCluster";
import { DemoChecks } from "./DemoChecks";
import { demoSetup } from "./demoSetup";
import { runDemo } from "./runDemo";
import { runRolloutDemo } from "./runRolloutDemo";

/** Prints addresses and keys of the cluster as JSON, and keeps it running until SIGINT or SIGTERM. */
const holdCluster = async (cluster: LocalCluster): Promise<void> => {
    console.log(JSON.stringify({
        entries: cluster.nodes.map(node => node.callersUrl),
        standIns: {
            tables: cluster.standIns.tables.server.url,
            objects: cluster.standIns.objects.server.url,
            cloud: cluster.standIns.cloud.server.url,
            runners: cluster.standIns.runners.map(({ vm }) => ({
                service: vm.service,
                dataCentre: vm.dataCentre,
                url: vm.url,
            })),
        },
        accounts: demoSetup.accounts,
        operatorToken: cluster.operatorToken,
    }));
    await new Promise<void>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
};

const main = async (): Promise<void> => {
    const printsJson = process.argv.includes("--json");
    const cluster = new LocalCluster(demoSetup);
    const checks = new DemoChecks(printsJson);
    try {
        await cluster.start();
        if (process.argv.includes("--hold")) {
            await holdCluster(cluster);
            return;
        }
        await runDemo(cluster, checks);
        await runRolloutDemo(checks);
    }
    finally {
        await cluster.stop();
    }
    if (printsJson) {
        console.log(JSON.stringify({ held: checks.hasPassed, checks: checks.checks }));
    }
    else {
        console.log(checks.hasPassed ? "every promise held" : "a promise was broken");
    }
    process.exitCode = checks.hasPassed ? 0 : 1;
};

main().catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
});
