import { join } from "node:path";
import { formatControlFigures, runControlBench } from "./control/runControlBench";
import { formatLogFigures, runLogBench } from "./log/runLogBench";
import { formatPathFigures, runPathBench } from "./path/runPathBench";
import { formatPolicyFigures, runPolicyBench, writePlots } from "./policy/runPolicyBench";
import { formatSlopes, runSlopesBench } from "./slopes/runSlopesBench";

const defaultSeed = 1;

const readOption = (name: string): string | undefined => {
    const index = process.argv.indexOf(name);
    return index < 0 ? undefined : process.argv[index + 1];
};

const main = async (): Promise<void> => {
    const bench = process.argv[2];
    const seed = Number(readOption("--seed") ?? defaultSeed);
    const isJson = process.argv.includes("--json");
    switch (bench) {
        case "control": {
            const figures = await runControlBench(readOption("--nodes")?.split(",").map(Number));
            console.log(isJson ? JSON.stringify(figures) : formatControlFigures(figures));
            process.exit();
            break;
        }
        case "log": {
            const figures = await runLogBench();
            console.log(isJson ? JSON.stringify(figures) : formatLogFigures(figures));
            return;
        }
        case "path": {
            const figures = await runPathBench(seed);
            console.log(isJson ? JSON.stringify(figures) : formatPathFigures(figures));
            return;
        }
        case "policy": {
            const figures = await runPolicyBench(seed);
            await writePlots(figures, readOption("--plots") ?? join("docs", "measurements", "policy"));
            console.log(isJson ? JSON.stringify(figures) : formatPolicyFigures(figures));
            process.exit();
            break;
        }
        case "slopes": {
            const slopes = await runSlopesBench();
            console.log(isJson ? JSON.stringify(slopes) : formatSlopes(slopes));
            return;
        }
    }
    console.error("usage: npm run bench control|log|path|policy|slopes -- [--json] [--seed N] [--nodes N,N]");
    process.exitCode = 2;
};

main().catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
});
