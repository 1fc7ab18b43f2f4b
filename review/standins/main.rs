//! Runs the cases of the review that are scripts.

mod downloads;
mod memory;
mod second_answer;
mod support;
mod uploads;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(support::NOT_RUN);
    };
    let path = std::path::Path::new(record);
    let status = match case.as_str() {
        "second-answer" => second_answer::run(path),
        "downloads" => downloads::run(path),
        "uploads" => uploads::run(path),
        _ => Ok(support::cannot_run("no such case")),
    };
    let status = status.unwrap_or_else(|error| support::cannot_run(&error.to_string()));
    std::process::exit(status);
}
