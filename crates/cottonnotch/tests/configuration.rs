//! The command line, both configuration files, and the log's forms, as an operator meets them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use peers::*;
use simd_json::prelude::*;
use std::path::PathBuf;
use std::process::Command;
use tempfile::TempDir;

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
    for name in
        ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG", "GW_SEED", "COTTONNOTCH_OPERATOR", "RUST_LOG"]
    {
        command.env_remove(name);
    }
    command
}

/// A folder with the two files.
struct Files(TempDir);

impl Files {
    fn new(json: &str, operator: &str) -> Self {
        let files = Files(TempDir::new().unwrap());
        std::fs::write(files.json(), json).unwrap();
        files.write_operator(operator);
        files
    }

    fn json(&self) -> PathBuf {
        self.0.path().join("config.json")
    }

    fn operator(&self) -> PathBuf {
        self.0.path().join("operator.toml")
    }

    fn write_operator(&self, text: &str) {
        let new = self.0.path().join("new");
        std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, self.operator())).unwrap();
    }

    fn command(&self) -> Command {
        let mut command = program();
        command.env("GW_CONFIG", self.json()).arg("--operator").arg(self.operator());
        command
    }
}

/// Exit code, standard output, standard error.
fn run(command: &mut Command) -> (Option<i32>, String, String) {
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Five lines; the settings are on the fourth and those after.
fn json() -> String {
    format!(
        "{{\n\"listen\":\"127.0.0.1:0\",\n\"discovery\":\"127.0.0.1:1\",\"limits\":{{\"sockets\":512}},\n\
         \"settings\":{SETTINGS}\n}}"
    )
}

#[test]
fn check_prints_values_with_sources() {
    let files = Files::new(&json(), "\n[log]\nfilter = \"warn\"\n");
    let (code, printed, errors) =
        run(files.command().arg("check").env("GW_NAME", "n\n3").env("GW_DISCOVERY", "127.0.0.1:9"));
    assert_eq!((code, errors.as_str()), (Some(0), ""), "{printed}");
    let (json, operator) = (files.json().display().to_string(), files.operator().display().to_string());
    for line in [
        format!("operator = {operator}  # --operator"),
        format!("log.filter = warn  # {operator}, line 3"),
        "log.format = text  # default".to_owned(),
        "records.file = -  # default".to_owned(),
        "records.flush_ms = 200  # default".to_owned(),
        "name = n\\n3  # environment GW_NAME".to_owned(),
        format!("listen = 127.0.0.1:0  # {json}, line 2"),
        "discovery = 127.0.0.1:9  # environment GW_DISCOVERY".to_owned(),
        "seed = 0  # default".to_owned(),
        format!("limits.sockets = 512  # {json}, line 3"),
        "limits.memory_mb = 192  # default".to_owned(),
        "known = revision 0, 0 members, complete true  # default".to_owned(),
        format!("settings.policyLimits.mostTries = 3  # {json}, line 5"),
        "settings.policyLimits.probes = false  # default".to_owned(),
        format!("settings.requestClasses.0.name = look  # {json}, line 7"),
    ] {
        assert!(printed.lines().any(|printed| printed == line), "{line} in\n{printed}");
    }
    let ignored = self::json().replace("retryAfter", "retryAftre");
    std::fs::write(files.json(), ignored).unwrap();
    let (code, printed, _) =
        run(files.command().arg("check").env("RUST_LOG", "debug").env("COTTONNOTCH_OPERATOR", "nowhere"));
    assert_eq!(code, Some(0), "the command line wins over the environment");
    assert!(printed.contains("log.filter = debug  # environment RUST_LOG\n"), "{printed}");
    let unused = format!("settings.policyLimits.retryAftre = true  # {json}, line 5, not used\n");
    assert!(printed.contains(&unused), "{printed}");
}

#[test]
fn errors_name_key_file_and_line() {
    let (json_file, operator_file) = ("config.json", "operator.toml");
    let sound = "[log]\nfilter = \"info\"\n";
    let of_operator = |text: &'static str, message, line| (json(), text, message, operator_file, line);
    let of_json =
        |from: &str, to: &str, message, line| (json().replacen(from, to, 1), sound, message, json_file, line);
    for (json, operator, message, file, line) in [
        of_operator("[log]\n\nfromat = 'json'", "log.fromat is unknown: 'fromat', did you mean 'format'?", 3),
        of_operator("[log]\nxyzzy = 1", "log.xyzzy is unknown: 'xyzzy', known are 'filter', 'format'", 2),
        of_operator("\n\n[logs]", "logs is unknown: 'logs', did you mean 'log'?", 3),
        of_operator(
            "[log]\nfilter = 3",
            "log.filter cannot be used: invalid type: integer `3`, expected a str",
            2,
        ),
        of_operator(
            "[log]\nformat = 'jsn'",
            "log.format has an unknown value: 'jsn', did you mean 'json'?",
            2,
        ),
        of_operator(
            "log.filter = 'info,mio=debgu'",
            "log.filter has an unknown level: 'debgu', did you mean '",
            1,
        ),
        of_operator("log = 3", "log cannot be used: invalid type: integer `3`, expected a table", 1),
        of_operator("[log]\nfilter = 'info'\n[log\n", "operator's file is not TOML: unclosed table", 3),
        of_operator(
            "[log]\nfilter = 'info'\nfilter = 'warn'\n",
            "operator's file is not TOML: duplicate key",
            3,
        ),
        of_json("127.0.0.1:1", "nowhere", "discovery is not an address and port: 'nowhere'", 3),
        of_json("512", "8", "limits.sockets is not a whole number of 64 or more: '8'", 3),
        of_json(
            "\"mostTries\":3",
            "\"mostTries\":\"many\"",
            "settings.policyLimits.mostTries is not a number",
            5,
        ),
        of_json(
            "\"effect\":\"safe\"",
            "\"effect\":\"sfae\"",
            "settings.requestClasses.0.effect has an unknown value: 'sfae', allowed: safe, keyed, unsafe",
            7,
        ),
        of_json(
            "\"connectTimeout\":250000",
            "\"connectTimeout\":0",
            "settings.policyLimits.connectTimeout is not a number above 0",
            5,
        ),
        of_json("requestClasses", "classes", "settings.requestClasses is missing", 4),
        of_json("\"settings\"", "\"known\":{\"revision\":1},\n\"settings\"", "known: 'complete'", 4),
        of_json("\"settings\":", "\"settings\"", "GW_CONFIG", 4),
    ] {
        let files = Files::new(&json, operator);
        let (code, printed, errors) = run(files.command().arg("check"));
        assert_eq!((code, printed.as_str()), (Some(2), ""), "{message}: {errors}");
        assert!(errors.contains(&format!("faulty configuration: {message}")), "{message}: {errors}");
        assert!(errors.contains(file) && errors.contains(&format!(", line {line}")), "{line}: {errors}");
        let (code, _, log) = run(&mut files.command());
        let (_, fault) = errors.trim_end().split_once(": ").unwrap();
        assert!(log.contains(&format!("cannot start: {fault}")), "serving says the same: {log}");
        assert_eq!(code, Some(2));
    }
    let (code, _, errors) = run(program().args(["check", "--operator", "/nowhere/x.toml"]));
    assert!(errors.contains("'/nowhere/x.toml' cannot be read"), "{errors}");
    assert_eq!(code, Some(2));
    let (code, _, errors) = run(program().arg("check").env("GW_LISTEN", "here"));
    assert!(errors.contains("listen is not an address and port: 'here' (environment GW_LISTEN)"), "{errors}");
    assert_eq!(code, Some(2));
}

#[test]
fn reload_applies_both_files_or_neither() {
    let node = ScriptedServer::new();
    let files = Files::new("", "[log]\nfilter = \"info\"\n");
    let mut command = program();
    command.arg("--operator").arg(files.operator());
    let proxy = Proxy::by(command, &[&node], 1024, SETTINGS);
    let rename = (r#""name":"look""#, r#""name":"edit""#);
    let answer = |class: &str| {
        let mut client = proxy.connect();
        client.send(&with_fresh_id(&OPEN.replace("look", class)));
        node.accept_attempt().0.send("UP 1\r\n");
        client.receive()
    };
    // A sound JSON file and a faulty operator's file.
    files.write_operator("[log]\nfilter = \"debug\"\nfromat = \"json\"\n");
    proxy.reconfigure(&[rename]);
    let kept = proxy.wait_for_log("configuration kept, the new one is faulty: log.fromat");
    assert!(kept.contains("operator.toml, line 3") && kept.contains("key=log.fromat"), "{kept}");
    assert_eq!(answer("look"), "UP 1\r\n", "the old JSON file counts");
    // A sound operator's file and a faulty JSON file.
    files.write_operator("[log]\nfilter = \"debug\"\nformat = \"json\"\n");
    proxy.reconfigure(&[rename, (r#""mostTries":3"#, r#""mostTries":"many""#)]);
    let log =
        proxy.drain_log_until("configuration kept, the new one is faulty: settings.policyLimits.mostTries");
    assert!(log.iter().all(|line| !line.contains("DEBUG")), "{log:?}");
    assert_eq!(answer("look"), "UP 1\r\n", "the old JSON file counts");
    // Both are sound.
    proxy.reconfigure(&[rename]);
    let log = proxy.drain_log_until("configuration read again");
    let debug = log.iter().position(|line| line.contains("DEBUG"));
    assert_eq!(debug, None, "the old filter counts until now: {log:?}");
    assert!(
        log.iter().any(|line| line.contains("log.format cannot change while clients are served")),
        "{log:?}"
    );
    assert_eq!(answer("edit"), "UP 1\r\n", "the new JSON file counts");
    proxy.wait_for_log("DEBUG cottonnotch::net::driver] event Request");
    // The operator's file is gone.
    std::fs::remove_file(files.operator()).unwrap();
    proxy.reload();
    proxy.wait_for_log("configuration kept, the new one is faulty: operator's file");
}

#[test]
fn rust_log_overrides_the_filter() {
    let files = Files::new("", "[log]\nfilter = \"off\"\n");
    let mut command = Command::new("env");
    command.args(["RUST_LOG=info", env!("CARGO_BIN_EXE_cottonnotch")]);
    command.env("COTTONNOTCH_OPERATOR", files.operator());
    let proxy = Proxy::by(command, &[], 1024, SETTINGS);
    files.write_operator("[log]\nfilter = \"error\"\n");
    proxy.reload();
    proxy.wait_for_log("log.filter does not count while RUST_LOG is set, still 'info'");
    proxy.wait_for_log("configuration read again");
}

#[test]
fn json_log_has_one_object_a_line() {
    let node = ScriptedServer::new();
    let files = Files::new("", "[log]\nformat = \"json\"\n");
    let mut command = program();
    command.arg("--operator").arg(files.operator());
    let proxy = Proxy::by(command, &[&node], 1024, SETTINGS);
    let (mut watch, _) = proxy.discovery.accept_watch();
    watch.send(&chunk(&list(7, false, &[member("s\\\"0", &node, "draining")])));
    let line = proxy.wait_for_log("is Draining");
    let value = simd_json::to_owned_value(&mut line.clone().into_bytes()).expect("JSON");
    let text = |key: &str| value.get_str(key).unwrap_or_else(|| panic!("{key} in {line}"));
    assert_eq!((text("level"), text("part")), ("info", "cottonnotch::net::driver"));
    assert_eq!(text("text"), "endpoint s\"0 is Draining");
    assert!(text("time").starts_with("20") && text("time").ends_with('Z'), "{line}");
    let fields = value.get("fields").unwrap();
    assert_eq!((fields.get_str("endpoint"), fields.get_u64("revision")), (Some("s\"0"), Some(7)));
    proxy.terminate();
    let stopping = proxy.wait_for_log("asked to stop");
    assert!(stopping.contains(r#""requests":0"#), "a number stays one: {stopping}");
}

#[test]
fn text_log_cannot_be_forged() {
    let node = ScriptedServer::new();
    let proxy = Proxy::start(&[&node]);
    let _client = proxy.open();
    let mut far = node.accept_attempt().0;
    far.send("HELLO x=1 \"y\"\x1b[2J\r\n");
    let line = proxy.wait_for_log("endpoint answered an attempt with 'HELLO x=1");
    assert!(!line.contains('\x1b'), "{line:?}");
    assert!(line.contains(&format!(" address={} answer=\"HELLO x=1 ", node.address())), "{line}");
}

#[test]
fn help_explains_the_command_line() {
    let (code, printed, _) = run(program().arg("--version"));
    assert_eq!((code, printed), (Some(0), format!("cottonnotch {}\n", env!("CARGO_PKG_VERSION"))));
    let (code, printed, _) = run(program().arg("--help"));
    assert_eq!(code, Some(0));
    for word in ["check", "--operator <FILE>", "COTTONNOTCH_OPERATOR", "GW_CONFIG", "SIGHUP", "Exit codes"] {
        assert!(printed.contains(word), "{word} in\n{printed}");
    }
    let (code, printed, errors) = run(program().arg("chekc"));
    assert_eq!((code, printed.as_str()), (Some(2), ""));
    assert!(errors.contains("'check'"), "{errors}");
}
