mod foreign;
mod hang;
mod kit;
mod origin;
mod twice;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match arguments[1].as_str() {
        "twice" => twice::play(&arguments[2], trouble),
        "origin" => origin::play(&arguments[2], trouble),
        "hang" => hang::play(&arguments[2], trouble),
        "foreign" => foreign::play(&arguments[2], trouble),
        _ => 2,
    };
    std::process::exit(code)
}
