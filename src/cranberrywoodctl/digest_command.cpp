#include "cranberrywoodctl/digest_command.hpp"

#include "settings/value_text.hpp"
#include "systems/settings/key_check.hpp"

#include <iostream>

namespace cranberrywood::ctl {

// The key comes by standard input: arguments show in the process list.
int digest_command(const words& arguments)
{
    TCLAP::CmdLine line("Reads a key, one line, from standard input and prints "
                        "its digest for key_digests of a [workspace].");
    TCLAP::UnlabeledValueArg<std::string> salt("salt", "key_salt of [fleet]",
                                               true, "", "SALT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        std::cerr << "digest: no key on standard input\n";
        return exit_no;
    }
    std::cout << digest_text(digest_of(salt.getValue(), key)) << '\n';
    return exit_ok;
}

} // namespace cranberrywood::ctl
